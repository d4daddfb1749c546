/**
 * One attempt of a stream at an upstream: what the control thread asked for, and what the traffic thread reports back.
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
    fun onCancel(action: () -> Unit) = exchange.onCancel(action)

    /** From now on parts of the answer are passed on. */
    fun reportStart() = exchange.report(AnswerStarted(exchange.id, dispatch.upstream.id))

    fun reportProgress(tokens: Long) = exchange.report(AnswerProgressed(exchange.id, tokens))

    fun reportWhole(cost: Long, status: Int) =
        exchange.report(AnswerCompleted(exchange.id, dispatch.upstream.id, cost, status))

    fun reportFailure(failure: AttemptFailure) =
        exchange.report(AttemptFailed(exchange.id, dispatch.upstream.id, failure))

    fun reportCallerLeft() = exchange.report(CallerDisconnected(exchange.id))

    /** Reports that the attempt failed before anything was passed on, so that another one may follow. */
    fun failed(failure: AttemptFailure): Response? {
        reportFailure(failure)
        return null
    }

    /** Waits for the last decision about the stream. No attempt can follow any more. */
    fun conclude(): StreamDecision.Last =
        when (val decision = exchange.await()) {
            is StreamDecision.Last -> decision
            is StreamDecision.Start -> StreamDecision.Reject(exchange.unexpected())
        }

    /** Waits for the charge of a whole answer, then gives [response]. */
    fun conclude(refusals: Refusals, response: () -> Response): Response =
        when (val decision = conclude()) {
            is StreamDecision.Reject -> refusals.response(decision.refuse)
            StreamDecision.Deliver -> response()
        }
}
