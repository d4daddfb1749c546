/**
 * Runs one request on its traffic thread: announces it to the control thread and follows its decisions until there is
 * a response.
 */
package org.ibismoor.router.internal

import org.http4k.core.Response
import org.ibismoor.routing.api.CallerDisconnected
import org.ibismoor.routing.api.RequestArrived
import org.ibismoor.routing.api.RoutedRequest
import org.ibismoor.transport.api.CallerConnection

internal class StreamRunner(private val registry: StreamRegistry, private val refusals: Refusals) {
    /** [attempt] returns null if it has failed and reported so. */
    fun run(
        request: RoutedRequest,
        caller: CallerConnection,
        attempt: (Attempt) -> Response?,
    ): Response {
        val exchange = registry.open()
        exchange.report(RequestArrived(exchange.id, request))
        caller.onClosed { exchange.report(CallerDisconnected(exchange.id)) }
        var response: Response? = null
        while (response == null) response = follow(exchange, attempt)
        return response
    }

    private fun follow(exchange: StreamExchange, attempt: (Attempt) -> Response?): Response? =
        when (val decision = exchange.await()) {
            is StreamDecision.Reject -> refusals.response(decision.refuse)
            is StreamDecision.Start -> attempt(Attempt(decision.dispatch, exchange))
            StreamDecision.Deliver -> refusals.response(exchange.unexpected())
        }
}
