/**
 * Forwards calls to services. An answer that fits into one part is sent after its charge; of a longer one all parts but
 * the last are forwarded immediately.
 */
package org.ibismoor.router.internal

import okhttp3.MediaType.Companion.toMediaTypeOrNull
import okhttp3.RequestBody
import okhttp3.RequestBody.Companion.toRequestBody
import okhttp3.internal.http.HttpMethod
import org.http4k.core.Body
import org.http4k.core.Request
import org.http4k.core.Response
import org.http4k.core.Status
import java.nio.ByteBuffer

/** Headers that are not forwarded: they belong to one connection, or the router sets them itself. */
private val excludedHeaders = setOf(
    "connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade", "proxy-authenticate",
    "proxy-authorization", "content-length", "host", "authorization", "expect", "accept-encoding", "date",
    HeaderNames.IDEMPOTENCY_KEY.lowercase(), HeaderNames.REQUEST_ID.lowercase(),
    HeaderNames.PRIORITY.lowercase(), HeaderNames.DEADLINE.lowercase(),
    HeaderNames.ORGANISATION.lowercase(), HeaderNames.OUTCOME.lowercase(),
    HeaderNames.CONFIG_NUMBER.lowercase(),
)

internal class ServiceForwarder(private val client: UpstreamClient, private val refusals: Refusals) {
    fun forward(call: ServiceCall, request: Request, body: ByteArray, attempt: Attempt): Response? =
        when (val result = client.send(attempt, upstreamRequest(call, request, body))) {
            is UpstreamResult.Failed -> attempt.failBeforeStart(result.failure)
            is UpstreamResult.Answered -> forwardAnswer(attempt, result.answer)
        }

    private fun upstreamRequest(call: ServiceCall, request: Request, body: ByteArray): UpstreamRequest {
        val query = if (call.query.isEmpty()) "" else "?${call.query}"
        val headers = request.headers.filter { it.first.lowercase() !in excludedHeaders }
        return UpstreamRequest(
            request.method.name,
            call.target.path + query,
            headers.map { it.first to it.second.orEmpty() },
            requestBody(request, body),
        )
    }

    private fun requestBody(request: Request, body: ByteArray): RequestBody? {
        val type = request.header(HeaderNames.CONTENT_TYPE)?.toMediaTypeOrNull()
        val method = request.method.name
        return body.toRequestBody(type).takeIf {
            HttpMethod.permitsRequestBody(method) && (body.isNotEmpty() || HttpMethod.requiresRequestBody(method))
        }
    }

    private fun forwardAnswer(attempt: Attempt, answer: UpstreamAnswer): Response? {
        val reader = ServiceReader(answer)
        val first = reader.next()
        val failure = reader.failure
        return when {
            failure != null -> {
                reader.close()
                attempt.failBeforeStart(failure)
            }
            reader.isComplete -> completeAnswer(attempt, answer, first)
            else -> {
                attempt.reportStart()
                responseHead(attempt, answer).body(Body(ServiceBody(reader, first, attempt)))
            }
        }
    }

    private fun completeAnswer(attempt: Attempt, answer: UpstreamAnswer, bytes: ByteArray): Response {
        answer.close()
        attempt.reportCompletion(attempt.dispatch.costLimit, answer.status)
        return attempt.respondWhenCharged(refusals) { responseHead(attempt, answer).body(Body(ByteBuffer.wrap(bytes))) }
    }

    private fun responseHead(attempt: Attempt, answer: UpstreamAnswer): Response =
        Response(Status(answer.status, null))
            .headers(answer.headers.filter { it.first.lowercase() !in excludedHeaders })
            .header(HeaderNames.IDEMPOTENCY_KEY, attempt.dispatch.key.key)
}
