/**
 * Changes of requests whose upstream is silent. The silent attempt stays in use until another upstream has begun to
 * answer, since its upstream may go on at any time.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.core.api.Timestamp
import org.ibismoor.forwarding.api.AnswerLost
import org.ibismoor.forwarding.api.AnsweredFailure
import org.ibismoor.forwarding.api.AttemptResult
import org.ibismoor.forwarding.api.AwaitingAnswer
import org.ibismoor.forwarding.api.AwaitingUpstream
import org.ibismoor.forwarding.api.DecisionKind
import org.ibismoor.forwarding.api.Delivered
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.LogDecision
import org.ibismoor.forwarding.api.NotExecuted
import org.ibismoor.forwarding.api.NotSent
import org.ibismoor.forwarding.api.RequestRow

/** Gives up the attempt that was to take the place of the silent one of [request], which goes on alone. */
internal fun ForwardingTables.withSilentOnly(request: RequestRow): ForwardingTables {
    val silent = request.silent ?: return this
    return withoutInFlight(request.phase).copy(
        requests = requests.put(request.number, request.copy(phase = silent.phase, silent = null)),
        waiting = waiting.remove(request.number),
    )
}

/** Ends the silent attempt of [request], which the later attempt replaces. */
internal fun endSilentAttempt(
    tables: ForwardingTables,
    request: RequestRow,
    result: AttemptResult,
    now: Timestamp,
): ForwardingStep {
    val phase = request.silent?.phase ?: return ForwardingStep(tables)
    val next = tables.withoutInFlight(phase)
    val row = request.copy(silent = null).afterResult(result)
    // The selection counts the retry of a request only while its silent attempt goes on.
    val retries =
        if (request.phase is AwaitingUpstream) next.retries.withRetryCounted(request.group, now) else next.retries
    return ForwardingStep(
        next.copy(requests = next.requests.put(request.number, row), retries = retries),
        listOf(attemptFailure(request, phase, result, now)),
    )
}

/** The request after an attempt of it has ended with [result], while another one goes on. */
internal fun RequestRow.afterResult(result: AttemptResult): RequestRow =
    when (result) {
        is NotSent -> withoutUnsentAttempt()
        is NotExecuted -> this
        is AnsweredFailure, is Delivered -> copy(mayHaveRun = true)
        is AnswerLost -> copy(
            mayHaveRun = true,
            isAnswerStarted = isAnswerStarted || result.isAnswerStarted,
            deliveredEvents = result.events,
        )
    }

internal fun attemptFailure(
    request: RequestRow,
    phase: AwaitingAnswer,
    result: AttemptResult,
    now: Timestamp,
): LogDecision =
    logDecision(
        DecisionKind.ATTEMPT_FAILED,
        request.head.callId,
        "upstream" to phase.upstream,
        "attempt" to phase.attempt,
        "after_ms" to now - phase.sentAt,
        "result" to resultText(result),
        "software_version" to phase.version,
    )
