/**
 * Upstream health, derived from the results of attempts. Consecutive failures eject an upstream for a time that doubles
 * with each ejection; before that, the weighted failure rate makes the selection prefer other upstreams.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.then
import org.ibismoor.forwarding.api.AnswerLost
import org.ibismoor.forwarding.api.AnsweredFailure
import org.ibismoor.forwarding.api.AttemptResult
import org.ibismoor.forwarding.api.AwaitingAnswer
import org.ibismoor.forwarding.api.DecisionKind
import org.ibismoor.forwarding.api.Delivered
import org.ibismoor.forwarding.api.FailureRow
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.ForwardingTimes
import org.ibismoor.forwarding.api.NotExecuted
import org.ibismoor.forwarding.api.NotSent
import org.ibismoor.forwarding.api.ReportedLoad
import org.ibismoor.forwarding.api.UpstreamLoad
import org.ibismoor.forwarding.api.UpstreamRow
import kotlin.math.pow

/** Consecutive failures after which a reachable upstream is ejected; an unreachable one is ejected at once. */
private const val EJECTION_FAILURES = 3

/** Weight of the latest result in the exponentially weighted failure rate. */
private const val NEWEST_WEIGHT = 0.2
private const val FAILURE_RATE_HALF_LIFE_MILLIS = 4_000.0
private const val MAXIMUM_EJECTION_DOUBLINGS = 3
private const val FIRST_SERVER_ERROR = 500

/** Failure rate as of [now]. It decays while the upstream gets no requests. */
internal fun FailureRow.rateAt(now: Timestamp): Double =
    rate * 0.5.pow((now - updatedAt) / FAILURE_RATE_HALF_LIFE_MILLIS)

internal fun UpstreamRow.isEjected(now: Timestamp): Boolean = failures.ejectedUntil > now

internal fun ForwardingTables.withReportedLoad(
    phase: AwaitingAnswer,
    load: ReportedLoad?,
    now: Timestamp,
): ForwardingTables {
    if (load == null) return this
    return withUpdatedUpstream(phase) {
        it.copy(
            load = UpstreamLoad(load.running, load.waiting, load.slots, now, load.workTimePercent),
            sentSinceLoad = 0,
        )
    }
}

internal fun ForwardingTables.recordResult(
    phase: AwaitingAnswer,
    result: AttemptResult,
    now: Timestamp,
    settings: ForwardingSettings,
): ForwardingStep {
    val load = when (result) {
        is Delivered -> result.load
        is AnsweredFailure -> result.load
        is NotExecuted -> result.load
        is NotSent, is AnswerLost -> null
    }
    val tablesWithLoad = withReportedLoad(phase, load, now)
    val row = tablesWithLoad.upstreams[phase.upstream] ?: return ForwardingStep(tablesWithLoad)
    val failures = failuresAfterResult(row.failures, phase, result, now, settings.times)
    val upstreams = tablesWithLoad.upstreams.put(phase.upstream, row.copy(failures = failures))
    val next = tablesWithLoad.copy(upstreams = upstreams)
    val isEjection = failures.ejectedUntil > row.failures.ejectedUntil
    val decision = logDecision(
        DecisionKind.UPSTREAM_EJECTED,
        null,
        "upstream" to phase.upstream,
        "for_ms" to failures.ejectedUntil - now,
        "consecutive" to failures.consecutive,
        "result" to resultText(result),
    )
    return ForwardingStep(next, listOf(decision).filter { isEjection })
        .then { it.withPaceOf(phase, result, isEjection, settings, now) }
}

private fun failuresAfterResult(
    row: FailureRow,
    phase: AwaitingAnswer,
    result: AttemptResult,
    now: Timestamp,
    times: ForwardingTimes,
): FailureRow {
    val isFailure = when (result) {
        is Delivered -> false
        is AnsweredFailure -> result.status >= FIRST_SERVER_ERROR
        is NotExecuted -> result.isOtherUpstream
        is NotSent, is AnswerLost -> true
    }
    val rate = row.rateAt(now) * (1 - NEWEST_WEIGHT) + if (isFailure) NEWEST_WEIGHT else 0.0
    val isUnreachable = result is NotSent || result is NotExecuted && result.isOtherUpstream
    val consecutive = if (isFailure) row.consecutive + 1 else 0
    val next = row.copy(consecutive = consecutive, rate = rate, updatedAt = now)
    return when {
        !isFailure -> next.copy(ejections = 0)
        row.isEjectionKnown(phase) -> next
        isUnreachable || consecutive >= EJECTION_FAILURES -> next.withEjection(now, times)
        else -> next
    }
}

/** One crash ends all requests in flight at an upstream. Those that were sent before the ejection say nothing new. */
private fun FailureRow.isEjectionKnown(phase: AwaitingAnswer): Boolean = ejectedAt != null && phase.sentAt <= ejectedAt

private fun FailureRow.withEjection(now: Timestamp, times: ForwardingTimes): FailureRow {
    val doublings = ejections.coerceAtMost(MAXIMUM_EJECTION_DOUBLINGS)
    val duration = (times.firstEjectionMillis shl doublings).coerceAtMost(times.maximumEjectionMillis)
    return copy(ejections = ejections + 1, ejectedAt = now, ejectedUntil = maxOf(ejectedUntil, now + duration))
}
