/**
 * Obeys what upstreams say in their answers. One that is leaving gets nothing new, whatever the list says of it, until
 * the list shows a new incarnation. One that asks for a pause gets nothing until its end; then the requests in flight
 * rise gradually, since all callers that were refused meanwhile may return at once.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.core.api.foldSteps
import org.ibismoor.core.api.then
import org.ibismoor.forwarding.api.AvailabilityAnnounced
import org.ibismoor.forwarding.api.AvailabilityRow
import org.ibismoor.forwarding.api.DecisionKind
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.UpstreamRow
import org.ibismoor.pacing.api.PaceEvent

internal class AvailabilitySystem(private val settings: ForwardingSettings) : ForwardingSystem {
    override fun run(tables: ForwardingTables, tick: Tick<ForwardingMessage>): ForwardingStep {
        val announced = foldSteps(tables, tick.messages) { table, message ->
            if (message is AvailabilityAnnounced) applyAnnouncement(table, message, tick.now) else ForwardingStep(table)
        }
        return announced.then { endPauses(it, tick.now) }
    }

    private fun applyAnnouncement(
        tables: ForwardingTables,
        message: AvailabilityAnnounced,
        now: Timestamp,
    ): ForwardingStep {
        val row = tables.upstreams[message.upstream] ?: return ForwardingStep(tables)
        return startLeaving(tables, row, message, now).then { startPause(it, message, now) }
    }

    private fun startLeaving(
        tables: ForwardingTables,
        row: UpstreamRow,
        message: AvailabilityAnnounced,
        now: Timestamp,
    ): ForwardingStep {
        if (!message.isLeaving || row.availability.leavingSince != null) return ForwardingStep(tables)
        val decision = logDecision(
            DecisionKind.UPSTREAM_LEAVING,
            null,
            "upstream" to message.upstream,
            "source" to "answer",
            "in_flight" to row.inFlight,
            "listed_leaving" to row.entry.isLeaving,
        )
        val next = tables.withAvailability(message.upstream, row.availability.copy(leavingSince = now))
        return ForwardingStep(next, listOf(decision))
    }

    /** A later answer may extend the pause, and does not shorten it. */
    private fun startPause(tables: ForwardingTables, message: AvailabilityAnnounced, now: Timestamp): ForwardingStep {
        val availability = tables.upstreams[message.upstream]?.availability
        val pauseMillis = message.pauseMillis?.coerceAtMost(settings.times.maximumPauseMillis)
        if (availability == null || pauseMillis == null || pauseMillis <= 0) return ForwardingStep(tables)
        val until = maxOf(now + pauseMillis, availability.pausedUntil ?: now)
        val next = tables.withAvailability(message.upstream, availability.copy(pausedUntil = until))
            .copy(nextResumptionAt = minOf(until, tables.nextResumptionAt ?: until))
        val decision = logDecision(
            DecisionKind.UPSTREAM_PAUSED,
            null,
            "upstream" to message.upstream,
            "source" to "answer",
            "for_ms" to until - now,
        )
        return ForwardingStep(next, listOf(decision).filter { availability.pausedUntil == null })
    }

    private fun endPauses(tables: ForwardingTables, now: Timestamp): ForwardingStep {
        val due = tables.nextResumptionAt
        if (due == null || due > now) return ForwardingStep(tables)
        val paused = tables.upstreams.values.filter { it.availability.pausedUntil != null }
        val ended = paused.filterNot { it.isPaused(now) }
        val step = foldSteps(tables, ended) { table, row -> endPause(table, row, now) }
        val next = step.tables.upstreams.values.mapNotNull { it.availability.pausedUntil }.minOrNull()
        return ForwardingStep(step.tables.copy(nextResumptionAt = next), step.effects)
    }

    private fun endPause(tables: ForwardingTables, row: UpstreamRow, now: Timestamp): ForwardingStep {
        val availability = row.availability.copy(pausedUntil = null, resumedAt = now)
        val decision = logDecision(DecisionKind.UPSTREAM_RESUMED, null, "upstream" to row.entry.id)
        return ForwardingStep(tables.withAvailability(row.entry.id, availability), listOf(decision))
            .then { it.withPaceEvent(row.entry.id, PaceEvent.Returned(coldMillis = 0), settings, now) }
    }
}

private fun ForwardingTables.withAvailability(upstream: UpstreamId, availability: AvailabilityRow): ForwardingTables =
    copy(upstreams = upstreams.put(upstream, upstreams.getValue(upstream).copy(availability = availability)))

internal fun UpstreamRow.isPaused(now: Timestamp): Boolean = availability.pausedUntil.let { it != null && it > now }

/** True while the upstream may get another request after a pause. Upstreams with a pace need no such limit. */
internal fun UpstreamRow.hasResumed(now: Timestamp, resumptionMillis: Long): Boolean {
    val resumedAt = availability.resumedAt
    val elapsed = resumedAt?.let { now - it } ?: resumptionMillis
    return elapsed >= resumptionMillis || inFlight < 1 + entry.slots * elapsed / resumptionMillis
}
