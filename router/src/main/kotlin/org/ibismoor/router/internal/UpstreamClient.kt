/**
 * Sends requests to upstreams. Each attempt has an identifier of its own, which the answer must repeat; an answer that
 * does not is another request's, and its connection is closed.
 */
package org.ibismoor.router.internal

import okhttp3.Call
import okhttp3.Headers
import okhttp3.OkHttpClient
import okhttp3.Request
import okhttp3.RequestBody
import okhttp3.Response
import org.ibismoor.core.api.SessionId
import org.ibismoor.routing.api.AttemptFailure
import org.ibismoor.routing.api.Dispatch
import org.ibismoor.transport.api.SendTracker
import java.io.IOException
import java.io.InterruptedIOException
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

private const val TOO_MANY_REQUESTS = 429
private const val SERVICE_UNAVAILABLE = 503

/** What goes to an upstream, without the headers that each request has. */
internal class UpstreamRequest(
    val method: String,
    val pathAndQuery: String,
    val headers: List<Pair<String, String>>,
    val body: RequestBody?,
)

internal class UpstreamClient(private val client: OkHttpClient, private val session: SessionId) {
    private val lastAttempt = AtomicLong()

    /** Sends [request] and waits for the head of the answer. */
    fun send(attempt: Attempt, request: UpstreamRequest): UpstreamResult {
        val requestId = "$session-${lastAttempt.incrementAndGet()}"
        val watch = SendTracker()
        val call = client.newCall(build(attempt.dispatch, request, requestId, watch))
        call.timeout().timeout(attempt.dispatch.remainingMillis, TimeUnit.MILLISECONDS)
        attempt.onCancel(call::cancel)
        return try {
            check(call, call.execute(), requestId)
        } catch (_: InterruptedIOException) {
            UpstreamResult.Failed(if (watch.isSent) AttemptFailure.TIMEOUT else AttemptFailure.NOT_SENT)
        } catch (_: IOException) {
            UpstreamResult.Failed(if (watch.isSent) AttemptFailure.NO_ANSWER else AttemptFailure.NOT_SENT)
        }
    }

    private fun build(dispatch: Dispatch, request: UpstreamRequest, requestId: String, watch: SendTracker): Request {
        val headers = Headers.Builder()
        request.headers.forEach { (name, value) -> headers.add(name, value) }
        return Request.Builder()
            .url(dispatch.upstream.baseUrl.trimEnd('/') + request.pathAndQuery)
            .headers(headers.build())
            .header(CallerHeaders.REQUEST_ID, requestId)
            .header(CallerHeaders.IDEMPOTENCY_KEY, dispatch.key.key)
            .header(CallerHeaders.ORGANISATION, dispatch.key.organisation.text)
            .header(CallerHeaders.PRIORITY, dispatch.priority.text)
            .header(CallerHeaders.DEADLINE, dispatch.remainingMillis.toString())
            .header("Accept-Encoding", "identity")
            .method(request.method, request.body)
            .tag(SendTracker::class.java, watch)
            .build()
    }

    private fun check(call: Call, response: Response, requestId: String): UpstreamResult {
        val answer = UpstreamAnswer(call, response)
        val failure = when {
            answer.header(CallerHeaders.REQUEST_ID) != requestId -> AttemptFailure.CROSSED_ANSWER
            isRefusal(answer) -> AttemptFailure.REFUSED
            else -> null
        }
        return if (failure == null) UpstreamResult.Answered(answer) else failed(answer, failure)
    }

    private fun failed(answer: UpstreamAnswer, failure: AttemptFailure): UpstreamResult {
        answer.abort()
        return UpstreamResult.Failed(failure)
    }

    private fun isRefusal(answer: UpstreamAnswer): Boolean =
        answer.status in setOf(TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE) &&
            answer.header(CallerHeaders.OUTCOME) == "not_run"
}
