/**
 * Attempts of calls at plain services. A short answer waits for its charge as a whole; of a longer one everything but
 * the last part is passed on before.
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

/** Headers that belong to one connection, and those that the router sets itself. */
private val ownHeaders = setOf(
    "connection", "keep-alive", "transfer-encoding", "te", "trailer", "upgrade", "proxy-authenticate",
    "proxy-authorization", "content-length", "host", "authorization", "expect", "accept-encoding", "date",
    CallerHeaders.IDEMPOTENCY_KEY.lowercase(), CallerHeaders.REQUEST_ID.lowercase(),
    CallerHeaders.PRIORITY.lowercase(), CallerHeaders.DEADLINE.lowercase(),
    CallerHeaders.ORGANISATION.lowercase(), CallerHeaders.OUTCOME.lowercase(),
    CallerHeaders.CONFIG_NUMBER.lowercase(),
)

internal class ServiceFlow(private val client: UpstreamClient, private val refusals: Refusals) {
    fun attempt(call: ServiceCall, request: Request, body: ByteArray, attempt: Attempt): Response? =
        when (val result = client.send(attempt, requestOf(call, request, body))) {
            is UpstreamResult.Failed -> attempt.failed(result.failure)
            is UpstreamResult.Answered -> answered(attempt, result.answer)
        }

    private fun requestOf(call: ServiceCall, request: Request, body: ByteArray): UpstreamRequest {
        val query = if (call.query.isEmpty()) "" else "?${call.query}"
        val headers = request.headers.filter { it.first.lowercase() !in ownHeaders }
        return UpstreamRequest(
            request.method.name,
            call.target.path + query,
            headers.map { it.first to it.second.orEmpty() },
            bodyOf(request, body),
        )
    }

    private fun bodyOf(request: Request, body: ByteArray): RequestBody? {
        val type = request.header(CallerHeaders.CONTENT_TYPE)?.toMediaTypeOrNull()
        val method = request.method.name
        return body.toRequestBody(type).takeIf {
            HttpMethod.permitsRequestBody(method) && (body.isNotEmpty() || HttpMethod.requiresRequestBody(method))
        }
    }

    private fun answered(attempt: Attempt, answer: UpstreamAnswer): Response? {
        val reader = ServiceReader(answer)
        val first = reader.next()
        val failure = reader.failure
        return when {
            failure != null -> {
                reader.close()
                attempt.failed(failure)
            }
            reader.isWhole -> whole(attempt, answer, first)
            else -> {
                attempt.reportStart()
                head(attempt, answer).body(Body(ServiceBody(reader, first, attempt)))
            }
        }
    }

    private fun whole(attempt: Attempt, answer: UpstreamAnswer, bytes: ByteArray): Response {
        answer.close()
        attempt.reportWhole(attempt.dispatch.costLimit, answer.status)
        return attempt.conclude(refusals) { head(attempt, answer).body(Body(ByteBuffer.wrap(bytes))) }
    }

    private fun head(attempt: Attempt, answer: UpstreamAnswer): Response =
        Response(Status(answer.status, null))
            .headers(answer.headers.filter { it.first.lowercase() !in ownHeaders })
            .header(CallerHeaders.IDEMPOTENCY_KEY, attempt.dispatch.key.key)
}
