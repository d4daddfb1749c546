/**
 * Applies the leader's quarantines: requests with a quarantined part are refused before they are sent. A router without
 * contact with a leader decides on the crashes that it has seen itself.
 */
package org.ibismoor.forwarding.internal

import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.toPersistentHashMap
import org.ibismoor.coordination.api.QuarantineUpdate
import org.ibismoor.coordination.api.QuarantinedPart
import org.ibismoor.coordination.api.culprit
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.foldSteps
import org.ibismoor.core.api.then
import org.ibismoor.forwarding.api.AnswerLost
import org.ibismoor.forwarding.api.AttemptEnded
import org.ibismoor.forwarding.api.AwaitingAllowance
import org.ibismoor.forwarding.api.DecisionKind
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.HeldQuarantine
import org.ibismoor.forwarding.api.PromptTables
import org.ibismoor.forwarding.api.ReportAnswered
import org.ibismoor.forwarding.api.RequestRow

/** Without a leader, a quarantine outlasts the time of its first probe by this much, as nobody else may probe. */
private const val LEADERLESS_MILLIS = 60_000L

/** Duration of a quarantine on this router's own evidence. */
private const val LOCAL_QUARANTINE_MILLIS = 60_000L

/** Shortest time after which a refused caller is told to retry. */
private const val MINIMUM_RETRY_AFTER_MILLIS = 1_000L

internal class QuarantineSystem(private val settings: ForwardingSettings) : ForwardingSystem {
    override fun run(tables: ForwardingTables, tick: Tick<ForwardingMessage>): ForwardingStep {
        val answers = tick.messages.filterIsInstance<ReportAnswered>().map { it.answer }.filter { it.isLeading }
        return foldSteps(tables, answers) { table, answer ->
            changeQuarantines(table, table.prompts.withUpdate(answer.prompts, tick.now))
        }
            .then { changeQuarantines(it, decideLocally(it, tick).withoutExpired(tick.now)) }
            .then { refuseQuarantined(it, tick.now) }
    }

    /** A leader that has nothing to say may be of a version without quarantines, so those in force stay. */
    private fun PromptTables.withUpdate(update: QuarantineUpdate?, now: Timestamp): PromptTables {
        if (update == null) return if (suspects.isEmpty()) this else copy(suspects = emptySet())
        val rows = update.quarantines.associate { it.part to heldQuarantine(it, now) }
        val added = rows.keys - quarantines.keys
        return copy(
            evidence = added.fold(evidence) { table, part -> table.withCulprit(part) },
            suspects = update.suspects.toSet(),
            quarantines = rows.toPersistentHashMap(),
        )
    }

    private fun PromptTables.heldQuarantine(held: QuarantinedPart, now: Timestamp): HeldQuarantine {
        val until = now + held.remainingMillis
        return HeldQuarantine(
            until = until,
            failedProbes = held.failedProbes,
            expiresAt = until + LEADERLESS_MILLIS,
            isProbeAllowed = held.isProbeAllowed,
            probe = quarantines[held.part]?.probe?.takeIf { held.isProbeAllowed },
        )
    }

    /** Quarantines the culprit of a new loss if no leader can decide. */
    private fun decideLocally(tables: ForwardingTables, tick: Tick<ForwardingMessage>): PromptTables {
        val prompts = tables.prompts
        val hasLoss = tick.messages.any { it is AttemptEnded && it.result is AnswerLost }
        val isLeaderless = hasLoss && tables.isControlLost(tick.now, settings)
        val part = prompts.evidence.takeIf { isLeaderless }?.culprit() ?: return prompts
        val until = tick.now + LOCAL_QUARANTINE_MILLIS
        return prompts.copy(
            evidence = prompts.evidence.withCulprit(part),
            quarantines = prompts.quarantines.put(part, HeldQuarantine(until, expiresAt = until + LEADERLESS_MILLIS)),
        )
    }

    private fun PromptTables.withoutExpired(now: Timestamp): PromptTables {
        val expired = quarantines.filterValues { it.expiresAt <= now }.keys
        return if (expired.isEmpty()) this else copy(quarantines = quarantines.mutate { it.keys.removeAll(expired) })
    }

    private fun changeQuarantines(tables: ForwardingTables, next: PromptTables): ForwardingStep {
        val before = tables.prompts.quarantines.keys
        val after = next.quarantines.keys
        val quarantined = (after - before).map { part ->
            val row = next.quarantines.getValue(part)
            logDecision(DecisionKind.PART_QUARANTINED, null, "prompt_part" to part, "failed_probes" to row.failedProbes)
        }
        val released = (before - after).map { logDecision(DecisionKind.PART_RELEASED, null, "prompt_part" to it) }
        return ForwardingStep(tables.copy(prompts = next), quarantined + released)
    }

    private fun refuseQuarantined(tables: ForwardingTables, now: Timestamp): ForwardingStep {
        if (tables.prompts.quarantines.isEmpty()) return ForwardingStep(tables)
        val requests = tables.unsentRequests().sortedBy { it.number }
        return foldSteps(tables, requests) { table, request -> checkRequest(table, request, now) }
    }

    private fun checkRequest(tables: ForwardingTables, request: RequestRow, now: Timestamp): ForwardingStep {
        val held = request.sharedParts().mapNotNull { part ->
            tables.prompts.quarantines[part]?.takeIf { it.probe != request.number }?.let { part to it }
        }
        val refusing = held.firstOrNull { (_, row) -> !row.isProbeAllowed || row.probe != null }
        return when {
            held.isEmpty() -> ForwardingStep(tables)
            refusing != null -> refuse(tables, request, refusing.second, now)
            else -> ForwardingStep(tables.withProbe(held.map { (part, _) -> part }, request))
        }
    }

    private fun refuse(
        tables: ForwardingTables,
        request: RequestRow,
        held: HeldQuarantine,
        now: Timestamp,
    ): ForwardingStep {
        val retryAfter = (held.until - now).coerceAtLeast(MINIMUM_RETRY_AFTER_MILLIS)
        val reason = RefusalReason.PROMPT_QUARANTINED
        return if (request.phase is AwaitingAllowance) {
            refuseForAllowance(tables, request, reason, retryAfter, now)
        } else {
            refuseRequest(tables, request, reason, retryAfter, now)
        }
    }

    private fun ForwardingTables.withProbe(parts: List<String>, request: RequestRow): ForwardingTables {
        val next = prompts.quarantines.mutate { table ->
            parts.forEach { part -> table[part] = table.getValue(part).copy(probe = request.number) }
        }
        return copy(prompts = prompts.copy(quarantines = next))
    }
}
