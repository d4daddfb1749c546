/**
 * A stream that has begun at one upstream and is continued at another one, which answers with something else. What it
 * answers belongs to no stream, so the caller gets neither its text nor the end of a complete stream.
 */
package org.ibismoor.gateway

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain

private const val FIELDS = "Call-Id: c1\r\nMark: m\r\n"
private const val STREAM_HEAD = "HTTP/1.1 200 OK\r\n${FIELDS}Content-Type: text/event-stream\r\n\r\n"
private const val LAST_CHUNK = "0\r\n\r\n"
private const val TEXT = "unexpected text"
private const val LONG_TEXT_REPEATS = 100_000

private fun answer(status: String, fields: String, text: String = TEXT): String =
    "HTTP/1.1 $status\r\n$fields" + "Content-Length: ${text.length}\r\n\r\n$text"

private val ANSWERS = mapOf(
    "a failure" to answer("500 Failed", FIELDS),
    "a failure without the mark" to answer("500 Failed", "Call-Id: c1\r\n"),
    "an unknown resource" to answer("404 Unknown", FIELDS),
    "a refusal" to answer("503 Busy", "Call-Id: c1\r\nNot-Run: 1\r\n"),
    "a redirect" to answer("302 Elsewhere", "${FIELDS}Location: /\r\n"),
    "a success that is no stream" to answer("200 OK", "${FIELDS}Content-Type: text/plain\r\n"),
    "a long success that is no stream" to answer("200 OK", FIELDS, TEXT.repeat(LONG_TEXT_REPEATS)),
    "a stream without the mark" to answer("200 OK", "Call-Id: c1\r\nContent-Type: text/event-stream\r\n"),
    "a failure as a stream" to answer("500 Failed", "${FIELDS}Content-Type: text/event-stream\r\n"),
    "a head that is cut off" to "HTTP/1.1 200 OK\r\n${FIELDS}Content-Type: text/event-str",
    "an answer to nobody" to answer("500 Failed", ""),
)

/** Sends one event and breaks off; the attempt that continues the stream gets [next]. */
private fun breakingOff(next: String) = RawAnswer { request, output, socket ->
    val isContinued = request.header("After") != null
    output.write((if (isContinued) next else "${STREAM_HEAD}id: 1\ndata: a\n\nid: 2\nda").encodeToByteArray())
    output.flush()
    socket.close()
}

class ContinuedStreamTest : StringSpec({
    ANSWERS.forEach { (name, next) ->
        "a stream that another upstream continues with $name ends cut off, without its text" {
            // Guards against an error's text or head within a stream, and against a stream that looks complete.
            val upstream = breakingOff(next)
            RouterFixture(upstream, upstream).use { fixture ->
                val received = fixture.exchange(request("POST /resume/1"))
                received shouldContain "data: a"
                received shouldNotContain TEXT
                received shouldNotContain LAST_CHUNK
                received.split("HTTP/1.1") shouldHaveSize 2
                fixture.receivedRequests shouldHaveSize 2
            }
        }
    }
})
