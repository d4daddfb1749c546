/**
 * Collects evidence on prompt parts that crash engines. A request that had not begun when its connection broke makes
 * its parts candidates; the last part is specific to the request and is none. An answer that begins clears its parts.
 */
package org.ibismoor.forwarding.internal

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.mutate
import org.ibismoor.coordination.api.BegunPart
import org.ibismoor.coordination.api.CrashEvidence
import org.ibismoor.coordination.api.EngineCrash
import org.ibismoor.coordination.api.PromptEvidence
import org.ibismoor.coordination.api.QuarantinedPart
import org.ibismoor.coordination.api.isSuspect
import org.ibismoor.coordination.api.suspects
import org.ibismoor.coordination.api.withoutExpired
import org.ibismoor.core.api.RouterId
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.foldSteps
import org.ibismoor.forwarding.api.AnswerLost
import org.ibismoor.forwarding.api.AttemptEnded
import org.ibismoor.forwarding.api.AwaitingAnswer
import org.ibismoor.forwarding.api.DecisionKind
import org.ibismoor.forwarding.api.Delivered
import org.ibismoor.forwarding.api.FirstEventArrived
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.PromptTables
import org.ibismoor.forwarding.api.ReportAnswered
import org.ibismoor.forwarding.api.ReportLost
import org.ibismoor.forwarding.api.RequestNumber
import org.ibismoor.forwarding.api.RequestRow

/** How a connection ends when its engine crashes. Other losses are the router's own decision or a faulty answer. */
private val CRASH_CAUSES = setOf("closed", "reset", "cut_event")

/** Limit of parts whose last answer is recorded; beyond it, the half on which none has begun lately is dropped. */
private const val MAXIMUM_BEGUN_PARTS = 4_096

/** Limits of the evidence in a report, in crashes and in parts of one crash. */
private const val MAXIMUM_REPORTED_CRASHES = 16
private const val MAXIMUM_REPORTED_PARTS = 64

/** An event that arrives sooner after a loss may have been sent before the engine crashed. */
private const val REFUTATION_DELAY_MILLIS = 500L

/** Losses of one crash arrive within this time and share one report. */
internal const val REPORT_DELAY_MILLIS = 50L

internal fun AnswerLost.isUnbegunCrash() = events == 0 && !isAnswerStarted && cause in CRASH_CAUSES

internal class CrashEvidenceSystem(private val settings: ForwardingSettings) : ForwardingSystem {
    override fun run(tables: ForwardingTables, tick: Tick<ForwardingMessage>): ForwardingStep =
        foldSteps(tables, tick.messages) { table, message ->
            when (message) {
                is ReportAnswered, is ReportLost -> ForwardingStep(table.withoutExpiredEvidence(tick.now))
                is FirstEventArrived -> recordBegin(table, sentPrompt(table, message.number, message.attempt), tick.now)
                is AttemptEnded -> recordEnd(table, message, tick.now)
                else -> ForwardingStep(table)
            }
        }

    private fun recordEnd(tables: ForwardingTables, message: AttemptEnded, now: Timestamp): ForwardingStep {
        val sent = sentPrompt(tables, message.number, message.attempt)
        val result = message.result
        return when {
            result is Delivered -> recordBegin(tables, sent, now)
            result is AnswerLost && result.isUnbegunCrash() -> recordLoss(tables, sent, now)
            else -> ForwardingStep(tables)
        }
    }

    private fun recordBegin(tables: ForwardingTables, sent: SentPrompt?, now: Timestamp): ForwardingStep {
        if (sent == null) return ForwardingStep(tables)
        val (request, phase, parts) = sent
        val prompts = tables.prompts
        val engine = tables.upstreams[phase.upstream]?.entry?.address
        val evidence = prompts.evidence
            .withoutCrashes { it.engine == engine && phase.sentAt < it.at && now - it.at >= REFUTATION_DELAY_MILLIS }
            .let { if (request.isAnswerStarted) it else it.withAnswerBegun(settings.router, request.group) }
        val next = prompts.copy(
            evidence = parts.fold(evidence) { table, part -> table.withBegun(part, now) },
            begunParts = parts.fold(prompts.begunParts.withoutOldest()) { table, part -> table.put(part, now) },
        )
        return ForwardingStep(tables.copy(prompts = next))
    }

    private fun recordLoss(tables: ForwardingTables, sent: SentPrompt?, now: Timestamp): ForwardingStep {
        val entry = sent?.let { tables.upstreams[it.phase.upstream]?.entry }
        if (sent == null || entry == null || sent.request.isAnswerStarted) return ForwardingStep(tables)
        val (request, phase, parts) = sent
        val own = request.head.prompt?.parts?.last()?.id.orEmpty()
        val crash = EngineCrash(entry.address, entry.group, 0, parts.associateWith { listOf(own) }, 0)
        val before = tables.prompts.evidence
        val evidence = before.withCrash(settings.router, crash, now)
        val next = tables.copy(prompts = tables.prompts.copy(evidence = evidence))
        val isNew = evidence.crashes.size > before.crashes.size
        return if (isNew) reportSoon(next, request, phase, now) else ForwardingStep(next)
    }

    private fun reportSoon(
        tables: ForwardingTables,
        request: RequestRow,
        phase: AwaitingAnswer,
        now: Timestamp,
    ): ForwardingStep {
        val fleet = tables.fleet.copy(nextReportAt = minOf(tables.fleet.nextReportAt, now + REPORT_DELAY_MILLIS))
        val decision = logDecision(
            DecisionKind.ENGINE_CRASHED,
            request.head.callId,
            "upstream" to phase.upstream,
            "suspects" to tables.prompts.evidence.suspects().size,
        )
        return ForwardingStep(tables.copy(fleet = fleet), listOf(decision))
    }

    /** The request and its [attempt] that is in flight; null if there is none, or if it shares no part with others. */
    private fun sentPrompt(tables: ForwardingTables, number: RequestNumber, attempt: Int): SentPrompt? {
        val request = tables.requests[number]
        val phase = request?.inFlightAttempt(attempt)
        val parts = request?.sharedParts().orEmpty()
        return if (request == null || phase == null || parts.isEmpty()) null else SentPrompt(request, phase, parts)
    }

    private data class SentPrompt(val request: RequestRow, val phase: AwaitingAnswer, val parts: List<String>)
}

private fun PersistentMap<String, Timestamp>.withoutOldest(): PersistentMap<String, Timestamp> {
    if (size <= MAXIMUM_BEGUN_PARTS) return this
    val oldest = entries.sortedBy { it.value }.take(size / 2).map { it.key }
    return mutate { it.keys.removeAll(oldest.toSet()) }
}

private fun ForwardingTables.withoutExpiredEvidence(now: Timestamp): ForwardingTables {
    val evidence = prompts.evidence.withoutExpired(now)
    return if (evidence === prompts.evidence) this else copy(prompts = prompts.copy(evidence = evidence))
}

/** Parts of the prompt that other requests may have too. */
internal fun RequestRow.sharedParts(): List<String> = head.prompt?.parts.orEmpty().dropLast(1).map { it.id }

/** True if a part of [request] may have crashed more than one engine. */
internal fun PromptTables.hasSuspectPart(request: RequestRow): Boolean =
    request.sharedParts().any { it in suspects || it in quarantines || evidence.isSuspect(it) }

/** True if [request] or a part of it may have crashed more than one upstream. */
internal fun ForwardingTables.isSuspect(request: RequestRow): Boolean =
    prompts.hasSuspectPart(request) || crashedRequests.isSuspect(request.head.digest)

/** The router's evidence for its report; null if there is none. */
internal fun promptEvidence(prompts: PromptTables, router: RouterId, now: Timestamp): PromptEvidence? {
    val evidence = PromptEvidence(
        crashes = reportedCrashes(prompts.evidence, router, now),
        begunParts = (prompts.suspects + prompts.quarantines.keys).mapNotNull { part ->
            prompts.begunParts[part]?.let { BegunPart(part, now - it) }
        },
        quarantines = prompts.quarantines.map { (part, row) ->
            QuarantinedPart(part, (row.until - now).coerceAtLeast(0), row.failedProbes)
        },
    )
    return evidence.takeIf { it != PromptEvidence() }
}

/** The newest crashes that still have candidates. */
private fun reportedCrashes(evidence: CrashEvidence, router: RouterId, now: Timestamp): List<EngineCrash> {
    val newest = evidence.crashes.entries.sortedByDescending { (number, _) -> number }.take(MAXIMUM_REPORTED_CRASHES)
    return newest.map { (number, row) ->
        val present = evidence.candidates.filterValues { number in it.crashes }
        val reported = present.entries.sortedByDescending { it.value.crashes.size }.take(MAXIMUM_REPORTED_PARTS)
        val parts = reported.associate { (part, candidate) -> part to candidate.crashes.getValue(number).toList() }
        EngineCrash(row.engine, row.group, now - row.at, parts, row.answersSince[router] ?: 0)
    }.filter { it.parts.isNotEmpty() }
}
