/**
 * The fields of answers by which upstreams say that they are leaving or want a pause.
 */
package org.ibismoor.gateway

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldStartWith
import io.netty.handler.codec.http.DefaultHttpResponse
import io.netty.handler.codec.http.HttpHeaderNames
import io.netty.handler.codec.http.HttpResponseStatus
import io.netty.handler.codec.http.HttpVersion
import org.ibismoor.gateway.internal.router.RequestedPause
import org.ibismoor.gateway.internal.router.requestedPauseOf

private const val REQUESTS = 8
private const val FIELDS = "Call-Id: c1\r\nMark: m\r\nLeaving: 1\r\n"
private const val EVENT = "id: 1\ndata: a\n\n"
private const val REFUSAL_FIELDS = "Call-Id: c1\r\nNot-Run: 1\r\nContent-Length: 0\r\n"

/** Answers of an upstream that is leaving. */
private val LEAVING_ANSWERS = mapOf(
    "a whole answer" to "HTTP/1.1 200 OK\r\n${FIELDS}Content-Length: 2\r\n\r\nok",
    "the head of a stream" to
        "HTTP/1.1 200 OK\r\n${FIELDS}Content-Type: text/event-stream\r\n" +
        "Content-Length: ${EVENT.length}\r\n\r\n$EVENT",
    "a failure" to "HTTP/1.1 500 Failed\r\n${FIELDS}Content-Length: 0\r\n\r\n",
    "a refusal" to "HTTP/1.1 503 Busy\r\nLeaving: 1\r\n$REFUSAL_FIELDS\r\n",
)

private fun answering(answer: String) = RawAnswer { _, output, _ -> output.write(answer.encodeToByteArray()) }

private fun pauseOf(status: HttpResponseStatus, vararg values: String): RequestedPause {
    val head = DefaultHttpResponse(HttpVersion.HTTP_1_1, status)
    values.forEach { head.headers().add(HttpHeaderNames.RETRY_AFTER, it) }
    return requestedPauseOf(head)
}

class AvailabilityFieldsTest : StringSpec({
    LEAVING_ANSWERS.forEach { (name, answer) ->
        "an upstream that says in $name that it is leaving gets no further request" {
            // Guards against an announcement that is heard in some kinds of answers only.
            RouterFixture(answering(answer)).use { fixture ->
                fixture.exchange(request("POST /stream/1"))
                fixture.exchange(request("POST /stream/2")) shouldStartWith "HTTP/1.1 503"
                fixture.receivedRequests shouldHaveSize 1
            }
        }
    }

    "an answer to another request announces nothing" {
        // Guards against an upstream that is left out for an answer that is not of it.
        val answer = "HTTP/1.1 503 Busy\r\nCall-Id: c0\r\nNot-Run: 1\r\nLeaving: 1\r\nRetry-After: 9\r\n" +
            "Content-Length: 0\r\n\r\n"
        val upstream = RawAnswer { request, output, _ ->
            output.write(answer.encodeToByteArray() + plainAnswer(request, "done"))
        }
        RouterFixture(upstream).use { fixture ->
            repeat(2) { fixture.exchange(request("POST /once/1")) shouldContain "done" }
        }
    }

    "an upstream that asks for a pause with its refusal gets nothing in that time" {
        // Guards against callers that are sent on to an upstream that has just asked for a pause.
        val refusing = answering("HTTP/1.1 503 Busy\r\nRetry-After: 1.5\r\n$REFUSAL_FIELDS\r\n")
        RouterFixture(refusing).use { fixture ->
            repeat(REQUESTS) { fixture.exchange(request("POST /once/1")) shouldStartWith "HTTP/1.1 503" }
            fixture.receivedRequests shouldHaveSize 1
        }
    }

    "each form of a requested pause has its effect" {
        // Guards against a malformed field that ends the attempt or takes an upstream out of use.
        val busy = HttpResponseStatus.SERVICE_UNAVAILABLE
        pauseOf(busy, "2") shouldBe RequestedPause.Pause(2_000)
        pauseOf(busy, "0.25") shouldBe RequestedPause.Pause(250)
        pauseOf(busy, "1" + "0".repeat(400)) shouldBe RequestedPause.Pause(Long.MAX_VALUE)
        pauseOf(busy, "0") shouldBe RequestedPause.None
        pauseOf(busy) shouldBe RequestedPause.None
        pauseOf(HttpResponseStatus.OK, "2") shouldBe RequestedPause.None
        listOf("-1", "soon", "", "1e3", "NaN", "Sat, 05 Dec 2026 18:00:00 GMT").forEach { text ->
            pauseOf(busy, text) shouldBe RequestedPause.Malformed
        }
        pauseOf(busy, "1", "2") shouldBe RequestedPause.Malformed
    }
})
