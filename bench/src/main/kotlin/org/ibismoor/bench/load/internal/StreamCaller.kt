/**
 * Sends one streamed chat completion on a traffic thread and records when its tokens arrive. The time to the first
 * token starts when the request was due, so that it includes a wait for a thread.
 */
package org.ibismoor.bench.load.internal

import kotlinx.serialization.json.JsonObject
import kotlinx.serialization.json.JsonPrimitive
import okhttp3.MediaType.Companion.toMediaType
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.Response
import okio.BufferedSource
import org.ibismoor.transport.api.Decoded
import org.ibismoor.transport.api.JSON_CONTENT_TYPE
import org.ibismoor.transport.api.decodeJson
import java.io.IOException
import java.util.concurrent.TimeUnit

private const val DATA = "data: "
private const val TERMINATOR = "data: [DONE]"
private const val CONTENT = "\"content\":"
private val jsonMediaType = JSON_CONTENT_TYPE.toMediaType()

internal class StreamCaller(
    private val settings: LoadSettings,
    private val client: OkHttpClient,
    private val times: Map<LoadPath, PathTimes>,
) {
    fun send(start: LoadEffect.StartRequest, dueNanos: Long): RequestEnded =
        try {
            client.newCall(buildRequest(start)).execute().use { readResponse(start, it, dueNanos) }
        } catch (_: IOException) {
            RequestEnded(start.number, RequestEnded.UNREACHABLE, 0)
        }

    private fun buildRequest(start: LoadEffect.StartRequest): Request {
        val plan = settings.plans.getValue(start.path)
        val target = plan.targets[(start.number % plan.targets.size).toInt()]
        val body = """{"model":"${settings.model}","stream":true,"max_tokens":${settings.answerTokens},""" +
            """"messages":[{"role":"user","content":"Summarise custody handover ${start.number}."}]}"""
        val request = Request.Builder().url("$target/v1/chat/completions").post(body.toRequestBody(jsonMediaType))
        plan.key?.let { request.header("Authorization", "Bearer $it") }
        return request.header("X-Request-Id", start.number.toString()).build()
    }

    private fun readResponse(start: LoadEffect.StartRequest, response: Response, dueNanos: Long): RequestEnded {
        val source = checkNotNull(response.body).source()
        return if (response.isSuccessful) {
            readStream(start, source, dueNanos)
        } else {
            RequestEnded(start.number, errorCode(response.code, source.readUtf8()), 0)
        }
    }

    private fun readStream(start: LoadEffect.StartRequest, source: BufferedSource, dueNanos: Long): RequestEnded {
        val recorder = if (start.isMeasured) times.getValue(start.path) else PathTimes.unmeasured
        var tokens = 0L
        var lastNanos = dueNanos
        var line: String? = ""
        while (line != null && line != TERMINATOR) {
            line = nextLine(source)
            if (line != null && line.startsWith(DATA) && CONTENT in line) {
                val now = System.nanoTime()
                val histogram = if (tokens == 0L) recorder.firstToken else recorder.gap
                histogram.recordValue(TimeUnit.NANOSECONDS.toMicros(now - lastNanos))
                lastNanos = now
                tokens++
            }
        }
        return RequestEnded(start.number, if (line == null) RequestEnded.INCOMPLETE else RequestEnded.COMPLETE, tokens)
    }

    private fun nextLine(source: BufferedSource): String? =
        try {
            source.readUtf8Line()
        } catch (_: IOException) {
            null
        }

    private fun errorCode(status: Int, body: String): String {
        val error = (decodeJson(JsonObject.serializer(), body) as? Decoded.Value)?.value?.get("error")
        val code = (error as? JsonObject)?.get("code") as? JsonPrimitive
        return code?.content ?: "status_$status"
    }
}
