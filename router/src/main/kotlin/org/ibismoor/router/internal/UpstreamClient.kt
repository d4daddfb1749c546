/**
 * Sends requests to upstreams. Each attempt has a unique request identifier that the answer must echo; an answer with
 * another identifier belongs to another request, so it is discarded and its connection closed.
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

/** A request to an upstream, without the headers that [UpstreamClient] adds to every request. */
internal class UpstreamRequest(
    val method: String,
    val pathAndQuery: String,
    val headers: List<Pair<String, String>>,
    val body: RequestBody?,
)

internal class UpstreamClient(private val client: OkHttpClient, private val session: SessionId) {
    private val lastAttempt = AtomicLong()

    /** Sends [request] and waits for the header of the answer. */
    fun send(attempt: Attempt, request: UpstreamRequest): UpstreamResult {
        val requestId = "$session-${lastAttempt.incrementAndGet()}"
        val tracker = SendTracker()
        val call = client.newCall(build(attempt.dispatch, request, requestId, tracker))
        call.timeout().timeout(attempt.dispatch.remainingMillis, TimeUnit.MILLISECONDS)
        attempt.onCancel(call::cancel)
        return try {
            checkAnswer(call, call.execute(), requestId)
        } catch (_: InterruptedIOException) {
            UpstreamResult.Failed(if (tracker.isSent) AttemptFailure.TIMEOUT else AttemptFailure.NOT_SENT)
        } catch (_: IOException) {
            UpstreamResult.Failed(if (tracker.isSent) AttemptFailure.NO_ANSWER else AttemptFailure.NOT_SENT)
        }
    }

    private fun build(dispatch: Dispatch, request: UpstreamRequest, requestId: String, tracker: SendTracker): Request {
        val headers = Headers.Builder()
        request.headers.forEach { (name, value) -> headers.add(name, value) }
        return Request.Builder()
            .url(dispatch.upstream.baseUrl.trimEnd('/') + request.pathAndQuery)
            .headers(headers.build())
            .header(HeaderNames.REQUEST_ID, requestId)
            .header(HeaderNames.IDEMPOTENCY_KEY, dispatch.key.key)
            .header(HeaderNames.ORGANISATION, dispatch.key.organisation.text)
            .header(HeaderNames.PRIORITY, dispatch.priority.text)
            .header(HeaderNames.DEADLINE, dispatch.remainingMillis.toString())
            .header("Accept-Encoding", "identity")
            .method(request.method, request.body)
            .tag(SendTracker::class.java, tracker)
            .build()
    }

    private fun checkAnswer(call: Call, response: Response, requestId: String): UpstreamResult {
        val answer = UpstreamAnswer(call, response)
        val failure = when {
            answer.header(HeaderNames.REQUEST_ID) != requestId -> AttemptFailure.CROSSED_ANSWER
            isRefusal(answer) -> AttemptFailure.REFUSED
            else -> null
        }
        return if (failure == null) UpstreamResult.Answered(answer) else abortAnswer(answer, failure)
    }

    private fun abortAnswer(answer: UpstreamAnswer, failure: AttemptFailure): UpstreamResult {
        answer.abort()
        return UpstreamResult.Failed(failure)
    }

    private fun isRefusal(answer: UpstreamAnswer): Boolean =
        answer.status in setOf(TOO_MANY_REQUESTS, SERVICE_UNAVAILABLE) &&
            answer.header(HeaderNames.OUTCOME) == "not_run"
}
