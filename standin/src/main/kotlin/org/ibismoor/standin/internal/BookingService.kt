/**
 * A booking service without idempotency: it executes every booking, also a repeated one, and counts the executions of
 * each request key.
 */
package org.ibismoor.standin.internal

import kotlinx.serialization.builtins.MapSerializer
import kotlinx.serialization.builtins.serializer
import org.http4k.core.Body
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.ibismoor.standin.api.ServiceSettings
import org.ibismoor.standin.api.ServiceStandIn
import org.ibismoor.transport.api.LoadReport
import org.ibismoor.transport.api.PartStream
import org.ibismoor.transport.api.ServerSettings
import org.ibismoor.transport.api.createServer
import org.ibismoor.transport.api.jsonResponse
import java.io.IOException
import java.util.UUID
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit

internal class BookingService(private val settings: ServiceSettings) : ServiceStandIn {
    private val executed = ConcurrentHashMap<String, Int>()
    private val startId = UUID.randomUUID().toString()
    private val server =
        createServer(ServerSettings(settings.host, settings.port)) { request, _ -> answer(request) }.start()

    override val port: Int get() = server.port()
    override val bookings: Map<String, Int> get() = executed.toMap()

    override fun close() {
        server.stop()
    }

    private fun answer(request: Request): Response =
        when {
            request.uri.path == "/load" ->
                jsonResponse(Status.OK, LoadReport.serializer(), LoadReport(0, 0, false, startId))
            request.uri.path != "/bookings" -> Response(Status.NOT_FOUND)
            request.method == Method.POST -> book(request)
            else -> jsonResponse(Status.OK, MapSerializer(String.serializer(), Int.serializer()), bookings)
        }.header(REQUEST_ID, request.header(REQUEST_ID))

    private fun book(request: Request): Response {
        TimeUnit.MILLISECONDS.sleep(settings.delayMillis)
        val key = "${request.header("Ibismoor-Organisation").orEmpty()}/${request.header("Idempotency-Key").orEmpty()}"
        val count = checkNotNull(executed.merge(key, 1, Int::plus))
        val response = Response(Status.CREATED).header("Content-Type", "application/json")
        return if (settings.losesAnswers) response.body(Body(BrokenBody())) else response.body("{\"executed\":$count}")
    }
}

/** Breaks the connection before the first byte of the body. */
private class BrokenBody : PartStream() {
    override fun nextPart(): ByteArray? = throw IOException("fault injected: answer broken off before its body")
}
