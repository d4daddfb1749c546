/**
 * One attempt of a stream at an upstream: the dispatch by the control thread and the reports of the traffic thread.
 */
package org.ibismoor.router.internal

import org.http4k.core.Response
import org.ibismoor.routing.api.AnswerCompleted
import org.ibismoor.routing.api.AnswerProgressed
import org.ibismoor.routing.api.AnswerStarted
import org.ibismoor.routing.api.AttemptFailed
import org.ibismoor.routing.api.AttemptFailure
import org.ibismoor.routing.api.CallerDisconnected
import org.ibismoor.routing.api.Dispatch

internal class Attempt(val dispatch: Dispatch, private val exchange: StreamExchange) {
    val trace: AnswerTrace get() = exchange.trace

    fun onCancel(action: () -> Unit) = exchange.onCancel(action)

    /** Reports that the first part of the answer is about to be forwarded, after which no retry is possible. */
    fun reportStart() = exchange.report(AnswerStarted(exchange.id, dispatch.upstream.id))

    fun reportProgress(tokens: Long) = exchange.report(AnswerProgressed(exchange.id, tokens))

    fun reportCompletion(cost: Long, status: Int) =
        exchange.report(AnswerCompleted(exchange.id, dispatch.upstream.id, cost, status))

    fun reportFailure(failure: AttemptFailure) =
        exchange.report(AttemptFailed(exchange.id, dispatch.upstream.id, failure))

    /** Reports that the caller closed the connection while parts of its answer were still to come. */
    fun reportCallerDisconnect() {
        exchange.report(CallerDisconnected(exchange.id))
        trace.reportCut(AnswerCuts.CALLER_LEFT, "answer_running")
    }

    /** Reports that the attempt failed before any part of the answer was forwarded, so that a retry is possible. */
    fun failBeforeStart(failure: AttemptFailure): Response? {
        reportFailure(failure)
        return null
    }

    /** Waits for the final decision about the stream, when no further attempt is possible. */
    fun awaitFinalDecision(): StreamDecision.Final =
        when (val decision = exchange.awaitDecision()) {
            is StreamDecision.Final -> decision
            is StreamDecision.StartAttempt -> StreamDecision.SendRefusal(exchange.internalErrorRefusal())
        }

    /** Waits for the final decision about an answer of which parts were passed on. [detail] says why it ended. */
    fun awaitEndOfAnswer(detail: String): StreamDecision.Final =
        awaitFinalDecision().also {
            when (it) {
                is StreamDecision.SendRefusal -> trace.reportCut(it.refusal.reason.code, detail)
                StreamDecision.DeliverAnswer -> trace.recordCharge()
            }
        }

    /** Waits until the charge of a complete answer is durable, then returns [response], or the refusal on failure. */
    fun respondWhenCharged(refusals: Refusals, response: () -> Response): Response =
        when (val decision = awaitFinalDecision()) {
            is StreamDecision.SendRefusal -> refusals.response(decision.refusal)
            StreamDecision.DeliverAnswer -> response()
        }
}
