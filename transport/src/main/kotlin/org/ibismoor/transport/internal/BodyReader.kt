/**
 * Reads the body of a request on the event thread, within the limits and the memory budget of the process, and then
 * dispatches the request to a worker. A slow caller occupies no worker; one that does not send its body in time is
 * disconnected.
 */
package org.ibismoor.transport.internal

import io.undertow.io.Receiver
import io.undertow.server.HttpHandler
import io.undertow.server.HttpServerExchange
import io.undertow.util.Headers
import org.http4k.core.Response
import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.memory.api.MemoryClass
import org.ibismoor.runtime.api.ChargedBody
import org.ibismoor.runtime.api.MemoryBudget
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
private const val UNKNOWN_LENGTH = -1L

/** The bytes of a body, and the text or value that is read from it. */
private const val COPIES_OF_BODY = 2

/** Heap of one header line beside its characters: its entry, and its copy for the handler. */
private const val HEADER_LINE_BYTES = 256L

/** Memory without progress is taken away after half a second, so a later try finds room. */
private const val RETRY_SECONDS = "1"

@Suppress("TooManyFunctions") // one function for each way in which a body ends
internal class BodyReader(
    private val limits: HttpLimits,
    private val workers: Executor,
    private val cuts: ConnectionCutListener,
    private val memory: MemoryBudget,
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
        val account = memory.open { cut(exchange, ConnectionCut.MEMORY_USED_UP) }
        exchange.addExchangeCompleteListener { _, next ->
            account.close()
            next.proceed()
        }
        val length = exchange.requestContentLength.takeIf { it != UNKNOWN_LENGTH }?.toInt()
        val hasRoom = account.charge(MemoryClass.HEADS, headBytes(exchange))
        val body = ChargedBody(account, length, limit.toInt(), COPIES_OF_BODY)
        if (!hasRoom || body.refusal != null) return refuse(exchange, noMemory())
        val timeout = exchange.ioThread.executeAfter(
            { cut(exchange, ConnectionCut.REQUEST_TIMEOUT) },
            limits.bodyTimeoutMillis,
            TimeUnit.MILLISECONDS,
        )
        exchange.requestReceiver.receivePartialBytes(
            { received, part, isLast ->
                body.add(part.size) { target, index -> part.copyInto(target, index) }
                val refusal = body.refusal
                if (refusal != null || isLast) timeout.remove()
                when {
                    refusal != null -> refuseUnread(received, refusal, limit)
                    isLast -> {
                        account.markServed()
                        dispatch(received, body)
                    }
                }
            },
            { failed, e ->
                timeout.remove()
                handleFailure(failed, e, limit)
            },
        )
    }

    private fun headBytes(exchange: HttpServerExchange): Long =
        exchange.requestHeaders.sumOf { values -> values.sumOf { HEADER_LINE_BYTES + it.length } }

    private fun dispatch(exchange: HttpServerExchange, body: ChargedBody) {
        val bytes = body.take()
        if (bytes == null) refuse(exchange, noMemory()) else exchange.dispatch(workers, handlerOf(bytes))
    }

    private fun handlerOf(bytes: ByteArray): HttpHandler = ExchangeHandler(handler, bytes, cuts)

    /** Stops reading, so that no part of the body arrives while the refusal is written. */
    private fun refuseUnread(exchange: HttpServerExchange, refusal: ChargedBody.Refusal, limit: Long) {
        exchange.requestReceiver.pause()
        refuse(exchange, if (refusal == ChargedBody.Refusal.TOO_LARGE) tooLarge(limit) else noMemory())
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

    private fun noMemory(): Response =
        refusalResponse(RefusalReason.NO_MEMORY, Outcome.NOT_RUN, "the memory for requests is used up; try again later")
            .header("Retry-After", RETRY_SECONDS)
}
