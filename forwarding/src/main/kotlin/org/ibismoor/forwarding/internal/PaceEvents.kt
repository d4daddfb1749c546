/**
 * Turns what happens at an upstream into events of its pace, and logs what changes with them.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.core.api.SeededRandom
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.forwarding.api.AnswerLost
import org.ibismoor.forwarding.api.AnsweredFailure
import org.ibismoor.forwarding.api.AttemptResult
import org.ibismoor.forwarding.api.AwaitingAnswer
import org.ibismoor.forwarding.api.DecisionKind
import org.ibismoor.forwarding.api.Delivered
import org.ibismoor.forwarding.api.FirstEventArrived
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.LogDecision
import org.ibismoor.forwarding.api.NotExecuted
import org.ibismoor.forwarding.api.NotSent
import org.ibismoor.forwarding.api.UpstreamRow
import org.ibismoor.pacing.api.PaceEvent
import org.ibismoor.pacing.api.PaceRow
import org.ibismoor.pacing.api.SharedSlots
import org.ibismoor.pacing.api.after
import org.ibismoor.pacing.api.paceSeedOf

/** Prompt tokens that delay a first event about as much as the rest of a request. */
private const val TOKENS_PER_WORK = 500.0

/** Applies [event], unless neither a pace nor a cold bound is in force for the upstream. */
internal fun ForwardingTables.withPaceEvent(
    upstream: UpstreamId,
    event: PaceEvent,
    settings: ForwardingSettings,
    now: Timestamp,
): ForwardingStep {
    val row = upstreams[upstream]
    return when {
        row == null || !(isPaced(row, settings) || hasColdBound(row)) -> ForwardingStep(this)
        else -> applyEvent(row, event, settings, now)
    }
}

private fun ForwardingTables.hasColdBound(row: UpstreamRow): Boolean =
    configuration?.groups?.get(row.entry.group)?.cold != null

private fun ForwardingTables.applyEvent(
    row: UpstreamRow,
    event: PaceEvent,
    settings: ForwardingSettings,
    now: Timestamp,
): ForwardingStep {
    val id = row.entry.id
    val shared = SharedSlots(row.entry.slots, fleet.routers.size.coerceAtLeast(1))
    val before = row.pace ?: PaceRow(random = SeededRandom(paceSeedOf(settings.entry.address, id.text)))
    val pace = before.after(event, shared, settings.pacing, now)
    val decisions = listOfNotNull(
        coldDecision(row, before, pace, now).takeIf { hasColdBound(row) },
        rampDecision(row, before, pace, now).takeIf { isPaced(row, settings) },
    )
    return ForwardingStep(copy(upstreams = upstreams.put(id, row.copy(pace = pace))), decisions)
}

private fun coldDecision(row: UpstreamRow, before: PaceRow, after: PaceRow, now: Timestamp): LogDecision? {
    val remainingMillis = after.coldUntil?.let { it - now } ?: 0
    if (before.isCold(now) || remainingMillis <= 0) return null
    return logDecision(
        DecisionKind.UPSTREAM_COLD,
        null,
        "upstream" to row.entry.id,
        "for_ms" to remainingMillis,
        "listed_ms" to row.entry.coldMillis,
    )
}

private fun rampDecision(row: UpstreamRow, before: PaceRow, after: PaceRow, now: Timestamp): LogDecision? {
    val next = after.ramp
    val previous = before.ramp
    val isEnd = previous != null && next == null
    return when {
        next != null && next.startedAt != previous?.startedAt -> logDecision(
            DecisionKind.UPSTREAM_PACED,
            null,
            "upstream" to row.entry.id,
            "limit" to next.limit,
            "slots" to row.entry.slots,
            "in_flight" to row.inFlight,
            "opens_in_ms" to next.opensAt - now,
        )
        isEnd -> logDecision(
            DecisionKind.UPSTREAM_UNPACED,
            null,
            "upstream" to row.entry.id,
            "took_ms" to previous?.let { now - it.startedAt },
        )
        else -> null
    }
}

/** Measures the time to the first event of a stream, as a multiple of the work before it. */
internal fun ForwardingTables.withPaceOfFirstEvent(
    message: FirstEventArrived,
    settings: ForwardingSettings,
    now: Timestamp,
): ForwardingStep {
    val phase = requests[message.number]?.phase as? AwaitingAnswer
    if (phase == null || phase.attempt != message.attempt) return ForwardingStep(this)
    val work = 1 + phase.pendingPromptTokens / TOKENS_PER_WORK
    val event = PaceEvent.Answered(now - phase.sentAt, othersInFlight(phase.upstream), work)
    return withPaceEvent(phase.upstream, event, settings, now)
}

/** An upstream that was ejected may have started again, so that it counts as cold from the end of the ejection. */
internal fun ForwardingTables.withPaceOf(
    phase: AwaitingAnswer,
    result: AttemptResult,
    isEjection: Boolean,
    settings: ForwardingSettings,
    now: Timestamp,
): ForwardingStep {
    val row = upstreams[phase.upstream] ?: return ForwardingStep(this)
    val coldMillis = configuration?.groups?.get(row.entry.group)?.cold?.startMillis ?: 0
    val event = if (isEjection) PaceEvent.Returned(coldMillis) else eventOf(result, phase, now)
    val at = if (isEjection) row.failures.ejectedUntil else now
    return if (event == null) ForwardingStep(this) else withPaceEvent(phase.upstream, event, settings, at)
}

/** Streams are measured at their first event, and a failure that the upstream computed says nothing of its load. */
private fun ForwardingTables.eventOf(result: AttemptResult, phase: AwaitingAnswer, now: Timestamp): PaceEvent? {
    val others = othersInFlight(phase.upstream)
    return when (result) {
        is Delivered -> PaceEvent.Answered(now - phase.sentAt, others).takeIf { result.events == 0 }
        is NotExecuted -> PaceEvent.Refused(others).takeIf { !result.isOtherUpstream }
        is AnswerLost -> PaceEvent.Lost(others)
        is AnsweredFailure, is NotSent -> null
    }
}

private fun ForwardingTables.othersInFlight(upstream: UpstreamId): Int =
    ((upstreams[upstream]?.inFlight ?: 0) - 1).coerceAtLeast(0)
