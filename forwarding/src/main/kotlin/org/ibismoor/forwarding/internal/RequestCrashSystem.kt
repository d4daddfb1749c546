/**
 * Collects evidence on requests that crash upstreams. A request that had no answer yet when its connection broke is a
 * suspect, whatever its route; an answer to a request with the same content clears it.
 */
package org.ibismoor.forwarding.internal

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.mutate
import org.ibismoor.coordination.api.AnsweredRequest
import org.ibismoor.coordination.api.CrashedRequestRow
import org.ibismoor.coordination.api.QuarantinedRequest
import org.ibismoor.coordination.api.RequestCrash
import org.ibismoor.coordination.api.RequestCrashRow
import org.ibismoor.coordination.api.RequestEvidence
import org.ibismoor.coordination.api.isRequestQuarantined
import org.ibismoor.core.api.RequestDigest
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.foldSteps
import org.ibismoor.forwarding.api.AnswerLost
import org.ibismoor.forwarding.api.AnsweredFailure
import org.ibismoor.forwarding.api.AttemptEnded
import org.ibismoor.forwarding.api.CrashedRequestTables
import org.ibismoor.forwarding.api.DecisionKind
import org.ibismoor.forwarding.api.Delivered
import org.ibismoor.forwarding.api.FirstEventArrived
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.ReportAnswered
import org.ibismoor.forwarding.api.ReportLost
import org.ibismoor.forwarding.api.RequestNumber
import org.ibismoor.forwarding.api.RequestRow

/** Limit of requests whose last answer is recorded; beyond it, the half that was answered first is dropped. */
private const val MAXIMUM_ANSWERED_REQUESTS = 4_096

/** An older answer does not show that a request is common. */
private const val ANSWER_LIFETIME_MILLIS = 300_000L

/** Limits of the evidence in a report. */
private const val MAXIMUM_REPORTED_CRASHES = 64
private const val MAXIMUM_REPORTED_ANSWERS = 128

/** What concerns single crashes is reported for this long, so that a new leader learns of it. */
private const val REPORTED_MILLIS = 30_000L

internal class RequestCrashSystem : ForwardingSystem {
    override fun run(tables: ForwardingTables, tick: Tick<ForwardingMessage>): ForwardingStep =
        foldSteps(tables, tick.messages) { table, message ->
            when (message) {
                is ReportAnswered, is ReportLost -> ForwardingStep(table.withoutExpiredCrashes(tick.now))
                is FirstEventArrived -> {
                    val request = sentRequest(table, message.number, message.attempt)
                    recordAnswer(table, request, tick.now)
                }
                is AttemptEnded -> recordEnd(table, message, tick.now)
                else -> ForwardingStep(table)
            }
        }

    private fun recordEnd(tables: ForwardingTables, message: AttemptEnded, now: Timestamp): ForwardingStep {
        val request = sentRequest(tables, message.number, message.attempt)
        val result = message.result
        return when {
            result is Delivered || result is AnsweredFailure -> recordAnswer(tables, request, now)
            result is AnswerLost && result.isUnbegunCrash() -> recordLoss(tables, request, message.attempt, now)
            else -> ForwardingStep(tables)
        }
    }

    private fun recordAnswer(tables: ForwardingTables, request: RequestRow?, now: Timestamp): ForwardingStep {
        if (request == null) return ForwardingStep(tables)
        val digest = request.head.digest
        val crashed = tables.crashedRequests
        val next = crashed.copy(
            evidence = crashed.evidence.withAnswered(digest, now),
            answered = crashed.answered.withoutOldest().put(digest, now),
        )
        return ForwardingStep(tables.copy(crashedRequests = next))
    }

    private fun recordLoss(
        tables: ForwardingTables,
        request: RequestRow?,
        attempt: Int,
        now: Timestamp,
    ): ForwardingStep {
        val address = request?.inFlightAttempt(attempt)?.let { tables.upstreams[it.upstream]?.entry?.address }
        if (request == null || address == null || request.isAnswerStarted) return ForwardingStep(tables)
        val digest = request.head.digest
        val crashed = tables.crashedRequests
        val answeredAt = crashed.answered[digest]?.takeIf { now - it <= ANSWER_LIFETIME_MILLIS }
        val before = if (answeredAt == null) crashed.evidence else crashed.evidence.withCleared(digest, answeredAt)
        val evidence = before.withCrash(digest, RequestCrashRow(address, now, isRepeat = request.mayHaveRun))
        val next = tables.copy(crashedRequests = crashed.copy(evidence = evidence))
        return if (evidence === before) ForwardingStep(next) else reportSoon(next, request, now)
    }

    private fun reportSoon(tables: ForwardingTables, request: RequestRow, now: Timestamp): ForwardingStep {
        val row = tables.crashedRequests.evidence.requests.getValue(request.head.digest)
        val decision = logDecision(
            DecisionKind.REQUEST_SUSPECTED,
            request.head.callId,
            "request" to request.head.digest,
            "crashes" to row.count,
        )
        return ForwardingStep(tables.withReportSoon(now), listOf(decision).filter { isRequestQuarantined(row) })
    }

    private fun sentRequest(tables: ForwardingTables, number: RequestNumber, attempt: Int): RequestRow? =
        tables.requests[number]?.takeIf { it.inFlightAttempt(attempt) != null }
}

private fun ForwardingTables.withReportSoon(now: Timestamp): ForwardingTables =
    copy(fleet = fleet.copy(nextReportAt = minOf(fleet.nextReportAt, now + REPORT_DELAY_MILLIS)))

/** A report that was on its way when an upstream crashed did not include the crash, so the next one follows soon. */
private fun ForwardingTables.withoutExpiredCrashes(now: Timestamp): ForwardingTables {
    val evidence = crashedRequests.evidence.withoutExpired(now)
    val hasUnreported = evidence.requests.values.any { row ->
        row.lastCrashAt?.let { it >= fleet.lastReportAt } ?: false
    }
    val next = if (hasUnreported) withReportSoon(now) else this
    return if (evidence === crashedRequests.evidence) next else next.withEvidence(evidence)
}

private fun PersistentMap<RequestDigest, Timestamp>.withoutOldest(): PersistentMap<RequestDigest, Timestamp> {
    if (size <= MAXIMUM_ANSWERED_REQUESTS) return this
    val oldest = entries.sortedBy { it.value }.take(size / 2).map { it.key }
    return mutate { it.keys.removeAll(oldest.toSet()) }
}

/** True if a request with [digest] has crashed an upstream before the one that it may just have crashed. */
internal fun CrashedRequestTables.isSuspect(digest: RequestDigest): Boolean =
    digest in suspects || digest in quarantines || (evidence.requests[digest]?.let(::isRequestQuarantined) ?: false)

/** The router's evidence for its report; null if there is none. */
internal fun requestEvidence(tables: CrashedRequestTables, now: Timestamp): RequestEvidence? {
    if (tables.evidence.isEmpty && tables.suspects.isEmpty() && tables.quarantines.isEmpty()) return null
    val evidence = RequestEvidence(
        crashes = reportedCrashes(tables, now),
        answered = reportedAnswers(tables, now),
        quarantines = tables.quarantines.map { (digest, row) ->
            QuarantinedRequest(digest, row.crashes, (row.until - now).coerceAtLeast(0))
        },
    )
    return evidence.takeIf { it != RequestEvidence() }
}

/** The crashes of those requests that crashed most upstreams, the newest first. */
private fun reportedCrashes(tables: CrashedRequestTables, now: Timestamp): List<RequestCrash> =
    tables.evidence.requests.entries
        .filter { (_, row) -> row.isReported(now) }
        .sortedWith(compareBy({ (_, row) -> -row.count }, { (_, row) -> -(row.lastCrashAt?.millis ?: 0) }))
        .flatMap { (digest, row) -> row.crashes.map { RequestCrash(digest, it.upstream, now - it.at, it.isRepeat) } }
        .take(MAXIMUM_REPORTED_CRASHES)

private fun CrashedRequestRow.isReported(now: Timestamp): Boolean {
    val crashedAt = lastCrashAt ?: return false
    return isRequestQuarantined(this) || now - crashedAt <= REPORTED_MILLIS
}

private fun reportedAnswers(tables: CrashedRequestTables, now: Timestamp): List<AnsweredRequest> {
    val own = tables.evidence.requests.filterValues { row ->
        row.answeredAt?.let { now - it <= REPORTED_MILLIS } ?: false
    }.keys
    return (tables.quarantines.keys + tables.suspects + own)
        .mapNotNull { digest -> tables.answered[digest]?.let { AnsweredRequest(digest, now - it) } }
        .filter { it.ageMillis <= ANSWER_LIFETIME_MILLIS }
        .take(MAXIMUM_REPORTED_ANSWERS)
}
