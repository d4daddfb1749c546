/**
 * A model engine that streams chat completions as server-sent events, with a limited number of concurrent answers.
 */
package org.ibismoor.standin.internal

import org.http4k.core.Body
import org.http4k.core.Method
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import org.ibismoor.standin.api.EngineCounts
import org.ibismoor.standin.api.EngineSettings
import org.ibismoor.standin.api.EngineStandIn
import org.ibismoor.transport.api.CallerConnection
import org.ibismoor.transport.api.Decoded
import org.ibismoor.transport.api.LoadReport
import org.ibismoor.transport.api.ServerSettings
import org.ibismoor.transport.api.createServer
import org.ibismoor.transport.api.decodeJson
import org.ibismoor.transport.api.externalJson
import org.ibismoor.transport.api.jsonResponse
import java.util.UUID
import java.util.concurrent.atomic.AtomicReference

internal const val REQUEST_ID = "X-Request-Id"

internal class ModelEngine(private val settings: EngineSettings) : EngineStandIn {
    private val slots = SlotQueue(settings.slots)
    private val currentCounts = AtomicReference(EngineCounts())
    private val startId = UUID.randomUUID().toString()

    @Volatile
    private var isLeaving = false

    private val server = createServer(ServerSettings(settings.host, settings.port), ::answer).start()

    override val port: Int get() = server.port()
    override val counts: EngineCounts get() = currentCounts.get()

    override fun markLeaving() {
        isLeaving = true
    }

    override fun close() {
        server.stop()
    }

    private fun answer(request: Request, caller: CallerConnection): Response =
        when (request.uri.path) {
            "/v1/chat/completions" -> complete(request, caller)
            "/load" -> jsonResponse(Status.OK, LoadReport.serializer(), loadReport())
            "/counts" -> jsonResponse(Status.OK, EngineCounts.serializer(), counts)
            "/leave" -> Response(Status.OK).also { if (request.method == Method.POST) markLeaving() }
            else -> Response(Status.NOT_FOUND)
        }

    private fun loadReport() =
        LoadReport(slots.running, slots.waiting, isLeaving, startId)

    private fun complete(request: Request, caller: CallerConnection): Response {
        val asked = decodeJson(CompletionRequest.serializer(), request.bodyString(), externalJson)
        val requestId = if (settings.faults.hasWrongRequestId) "other" else request.header(REQUEST_ID)
        return when (asked) {
            is Decoded.Malformed -> Response(Status.BAD_REQUEST).body(asked.problem)
            is Decoded.Value -> startAnswer(asked.value, caller)
        }.header(REQUEST_ID, requestId)
    }

    private fun startAnswer(request: CompletionRequest, caller: CallerConnection): Response {
        val place = slots.enter()
        caller.onClosed { slots.leave(place) }
        return if (place.get()) streamAnswer(request, caller) else Response(Status.SERVICE_UNAVAILABLE)
    }

    private fun streamAnswer(request: CompletionRequest, caller: CallerConnection): Response {
        val leavingIncrement = if (isLeaving) 1 else 0
        currentCounts.updateAndGet {
            it.copy(started = it.started + 1, startedWhileLeaving = it.startedWhileLeaving + leavingIncrement)
        }
        val stream = CompletionStream(request, settings, ::recordEnd)
        caller.onClosed(stream::cancel)
        return Response(Status.OK).header("Content-Type", "text/event-stream").body(Body(stream))
    }

    private fun recordEnd(isCompleted: Boolean) {
        slots.release()
        currentCounts.updateAndGet {
            if (isCompleted) it.copy(completed = it.completed + 1) else it.copy(cancelled = it.cancelled + 1)
        }
    }
}
