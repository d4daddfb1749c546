/**
 * Runs a handler on a worker thread and writes its answer. Each part of a streamed body is flushed as soon as it is
 * available.
 */
package org.ibismoor.transport.internal

import io.undertow.server.HttpHandler
import io.undertow.server.HttpServerExchange
import io.undertow.util.Headers
import io.undertow.util.HttpString
import org.http4k.core.Body
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.RequestSource
import org.http4k.core.Response
import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.transport.api.CallerHandler
import org.ibismoor.transport.api.ConnectionCut
import org.ibismoor.transport.api.ConnectionCutListener
import org.ibismoor.transport.api.refusalResponse
import org.xnio.IoUtils
import java.io.IOException
import java.io.InputStream
import java.nio.ByteBuffer

private const val BUFFER_BYTES = 16 * 1024

internal class ExchangeHandler(
    private val handler: CallerHandler,
    private val body: ByteArray,
    private val cuts: ConnectionCutListener,
) : HttpHandler {
    override fun handleRequest(exchange: HttpServerExchange) {
        val detector = DisconnectDetector.of(exchange.connection)
        detector.start()
        try {
            answer(exchange, detector)
        } finally {
            detector.stop()
        }
    }

    private fun answer(exchange: HttpServerExchange, detector: DisconnectDetector) {
        val request = requestOf(exchange)
        if (request == null) {
            write(exchange, unknownMethod(), detector)
        } else {
            handler.handle(request, detector).use { write(exchange, it, detector) }
        }
    }

    private fun requestOf(exchange: HttpServerExchange): Request? {
        val method = Method.values().firstOrNull { it.name == exchange.requestMethod.toString() } ?: return null
        val query = if (exchange.queryString.isEmpty()) "" else "?${exchange.queryString}"
        val headers = exchange.requestHeaders.flatMap { values -> values.map { values.headerName.toString() to it } }
        return Request(method, exchange.relativePath + query)
            .headers(headers)
            .body(Body(ByteBuffer.wrap(body)))
            .source(RequestSource(exchange.sourceAddress?.hostString.orEmpty(), exchange.sourceAddress?.port))
    }

    private fun unknownMethod(): Response =
        refusalResponse(RefusalReason.MALFORMED_REQUEST, Outcome.NOT_RUN, "the HTTP method is not supported")

    /** Stops the detector before the last byte is written, since the caller may then send its next request. */
    private fun write(exchange: HttpServerExchange, response: Response, detector: DisconnectDetector) {
        exchange.statusCode = response.status.code
        response.headers.forEach { (name, value) -> exchange.responseHeaders.add(HttpString(name), value.orEmpty()) }
        response.body.length?.let { exchange.responseHeaders.put(Headers.CONTENT_LENGTH, it) }
        val hasCallerLeft = detector.isClosed
        try {
            exchange.startBlocking()
            if (response.body.length != null) detector.stop()
            copy(response.body.stream, exchange)
            detector.stop()
            exchange.outputStream.close()
        } catch (_: IOException) {
            // The caller disconnected or the answer is incomplete; closing keeps it from looking complete.
            if (response.body.length != null && !hasCallerLeft) cuts.onCut(ConnectionCut.ANSWER_UNWRITTEN)
            IoUtils.safeClose(exchange.connection)
        }
    }

    private fun copy(source: InputStream, exchange: HttpServerExchange) {
        val buffer = ByteArray(BUFFER_BYTES)
        var count = source.read(buffer)
        while (count >= 0) {
            exchange.outputStream.write(buffer, 0, count)
            exchange.outputStream.flush()
            count = source.read(buffer)
        }
    }
}
