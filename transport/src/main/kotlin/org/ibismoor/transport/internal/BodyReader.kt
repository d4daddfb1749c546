/**
 * Reads the body of a request on the event thread, within the limits, and then dispatches the request to a worker. A
 * slow caller occupies no worker; one that does not send its body in time is disconnected.
 */
package org.ibismoor.transport.internal

import io.undertow.io.Receiver
import io.undertow.server.HttpHandler
import io.undertow.server.HttpServerExchange
import io.undertow.util.Headers
import org.http4k.core.Response
import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.transport.api.CallerHandler
import org.ibismoor.transport.api.ConnectionCut
import org.ibismoor.transport.api.ConnectionCutListener
import org.ibismoor.transport.api.HttpLimits
import org.ibismoor.transport.api.refusalResponse
import org.xnio.IoUtils
import java.io.IOException
import java.util.concurrent.Executor
import java.util.concurrent.TimeUnit

private const val CHUNKED = "chunked"

internal class BodyReader(
    private val limits: HttpLimits,
    private val workers: Executor,
    private val cuts: ConnectionCutListener,
    private val handler: CallerHandler,
) : HttpHandler {
    override fun handleRequest(exchange: HttpServerExchange) {
        val limit = limits.bodyBytesFor(exchange.requestPath)
        val codings = exchange.requestHeaders[Headers.TRANSFER_ENCODING].orEmpty()
        when {
            codings.isNotEmpty() && !codings.singleOrNull().equals(CHUNKED, ignoreCase = true) ->
                refuse(exchange, unknownCoding(codings))
            exchange.requestContentLength > limit -> refuse(exchange, tooLarge(limit))
            else -> receive(exchange, limit)
        }
    }

    private fun receive(exchange: HttpServerExchange, limit: Long) {
        val timeout = exchange.ioThread.executeAfter(
            { cut(exchange, ConnectionCut.REQUEST_TIMEOUT) },
            limits.bodyTimeoutMillis,
            TimeUnit.MILLISECONDS,
        )
        exchange.requestReceiver.setMaxBufferSize(limit.toInt())
        exchange.requestReceiver.receiveFullBytes(
            { received, bytes ->
                timeout.remove()
                received.dispatch(workers, ExchangeHandler(handler, bytes, cuts))
            },
            { failed, e ->
                timeout.remove()
                handleFailure(failed, e, limit)
            },
        )
    }

    private fun handleFailure(exchange: HttpServerExchange, e: IOException, limit: Long) {
        if (e is Receiver.RequestToLargeException) {
            refuse(exchange, tooLarge(limit))
        } else {
            cut(exchange, ConnectionCut.REQUEST_BROKEN)
        }
    }

    private fun cut(exchange: HttpServerExchange, cause: ConnectionCut) {
        cuts.onCut(cause)
        IoUtils.safeClose(exchange.connection)
    }

    private fun refuse(exchange: HttpServerExchange, response: Response) {
        exchange.isPersistent = false
        exchange.dispatch(workers, ExchangeHandler({ _, _ -> response }, ByteArray(0), cuts))
    }

    /** With another coding the length of the body is unknown, so that its bytes could be read as the next request. */
    private fun unknownCoding(codings: Collection<String>): Response {
        val problem = "unsupported Transfer-Encoding \"${codings.joinToString()}\"; send chunked or a Content-Length"
        return refusalResponse(RefusalReason.MALFORMED_REQUEST, Outcome.NOT_RUN, problem)
    }

    private fun tooLarge(limit: Long): Response =
        refusalResponse(RefusalReason.REQUEST_TOO_LARGE, Outcome.NOT_RUN, "the request body exceeds $limit bytes")
}
