/**
 * Runs one request on its traffic thread: reports its arrival to the control thread and carries out decisions until
 * there is a response.
 */
package org.ibismoor.router.internal

import org.http4k.core.Response
import org.ibismoor.routing.api.CallerDisconnected
import org.ibismoor.routing.api.RequestArrived
import org.ibismoor.routing.api.RoutedRequest
import org.ibismoor.transport.api.CallerConnection

internal class StreamRunner(private val registry: StreamRegistry, private val refusals: Refusals) {
    /** [attempt] returns null after it has reported a failure, for which the control thread may decide to retry. */
    fun run(
        request: RoutedRequest,
        caller: CallerConnection,
        attempt: (Attempt) -> Response?,
    ): Response {
        val exchange = registry.open()
        exchange.report(RequestArrived(exchange.id, request))
        caller.onClosed {
            exchange.report(CallerDisconnected(exchange.id))
            exchange.trace.reportCut(AnswerCuts.CALLER_LEFT, "connection_closed")
        }
        var response: Response? = null
        while (response == null) response = executeDecision(exchange, attempt)
        return response
    }

    private fun executeDecision(exchange: StreamExchange, attempt: (Attempt) -> Response?): Response? =
        when (val decision = exchange.awaitDecision()) {
            is StreamDecision.SendRefusal -> refusals.response(decision.refusal)
            is StreamDecision.StartAttempt -> attempt(Attempt(decision.dispatch, exchange))
            StreamDecision.DeliverAnswer -> refusals.response(exchange.internalErrorRefusal())
        }
}
