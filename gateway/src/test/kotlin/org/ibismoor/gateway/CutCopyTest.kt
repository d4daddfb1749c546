/**
 * Upstreams that write an earlier answer a second time, whole or cut off, where another answer is expected.
 */
package org.ibismoor.gateway

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.string.shouldStartWith

private const val MARKED = "Mark: m\r\n"
private const val STREAM = "Content-Type: text/event-stream\r\n"
private const val EVENT = "id: 1\ndata: a\n\n"

/** The identifier stands in the first or in the last field of a head. */
private fun answer(status: String, callId: String, body: String, isIdentifierFirst: Boolean): String {
    val identifier = "Call-Id: $callId\r\n"
    val fields = "Content-Type: text/plain\r\n${MARKED}Content-Length: ${body.length}\r\n"
    return "HTTP/1.1 $status\r\n${if (isIdentifierFirst) identifier + fields else fields + identifier}\r\n$body"
}

/** A stream without chunks, after [first] of which a second answer comes on its connection. */
private fun streamBefore(second: String, first: String = EVENT, length: String = "") =
    RawAnswer { request, output, socket ->
        val isContinued = request.header("After") != null
        val head = "HTTP/1.1 200 OK\r\nCall-Id: c1\r\n$MARKED$STREAM$length\r\n"
        output.write((if (isContinued) "${head}id: 2\ndata: b\n\n" else "$head$first$second").encodeToByteArray())
        output.flush()
        socket.close()
    }

class CutCopyTest : StringSpec({
    listOf(true, false).forEach { isFirst ->
        "a failure after any part of an earlier success stays a failure, identifier first: $isFirst" {
            // Guards against a head that begins with the status of one answer and goes on with the fields of another.
            val success = answer("200 OK", "c1", "answer c1", isFirst)
            var part = ""
            val upstream = RawAnswer { request, output, _ ->
                val failure = answer("500 Failed", "c2", "", isFirst)
                val text = if (request.header("Call-Id") == "c1") success else part + failure
                output.write(text.encodeToByteArray())
            }
            RouterFixture(upstream).use { fixture ->
                for (length in 1 until success.length) {
                    part = success.take(length)
                    fixture.exchange(request("POST /once/1")) shouldStartWith "HTTP/1.1 200"
                    fixture.exchange(request("POST /once/1").replace("c1", "c2")) shouldStartWith "HTTP/1.1 50"
                }
                fixture.receivedRequests.map { it.connection }.distinct().size shouldBe success.length - 1
            }
        }
    }

    "a stream without a length that a second answer follows is not passed on as one stream" {
        // Guards against the head of another answer within a stream that looks complete.
        val seconds = listOf(
            answer("200 OK", "c0", "other", true),
            "HTTP/1.1 200 OK\r\nCall-Id: c0\r\n$MARKED$STREAM\r\n$EVENT",
            "HTTP/1.1 500 Failed\r\nCall-Id: c0\r\n\r\n",
        )
        seconds.forEach { second ->
            RouterFixture(streamBefore(second)).use { fixture ->
                val text = fixture.exchange(request("POST /stream/1"))
                text shouldContain "data: a"
                text.substringAfter("\r\n\r\n") shouldNotContain "HTTP/1.1"
                text shouldNotContain "0\r\n\r\n"
            }
            RouterFixture(streamBefore(second), streamBefore(second)).use { fixture ->
                val text = fixture.exchange(request("POST /resume/1"))
                text.substringAfter("\r\n\r\n") shouldNotContain "HTTP/1.1"
                text shouldContain "data: b"
            }
        }
    }

    "a stream without chunks that a second answer interrupts is not passed on as one stream" {
        // Guards against the same within an event, where a second answer comes late while the stream goes on.
        val second = answer("200 OK", "c0", "other", true)
        listOf("id: 2\n", "id: 2\ndata: hal", "id: 2\ndata: b\n").forEach { half ->
            val rest = "${second}f\n\nid: 3\ndata: c\n\n"
            val lengths = listOf("", "Content-Length: ${(EVENT + half + rest).length}\r\n")
            lengths.forEach { length ->
                RouterFixture(streamBefore(rest, EVENT + half, length)).use { fixture ->
                    val text = fixture.exchange(request("POST /stream/1"))
                    text shouldContain "data: a"
                    text.substringAfter("\r\n\r\n") shouldNotContain "HTTP/1.1"
                    text shouldNotContain "0\r\n\r\n"
                }
            }
        }
    }

    "an event of a stream in chunks may hold the text of an answer" {
        // Guards against a stream that is broken off because it quotes an answer.
        val event = "id: 1\r\ndata: HTTP/1.1 200 OK\r\ndata: Server: a\r\n\r\n"
        val upstream = RawAnswer { _, output, _ ->
            val head = "HTTP/1.1 200 OK\r\nCall-Id: c1\r\n$MARKED${STREAM}Transfer-Encoding: chunked\r\n\r\n"
            output.write("$head${event.length.toString(radix = 16)}\r\n$event\r\n0\r\n\r\n".encodeToByteArray())
        }
        RouterFixture(upstream).use { it.exchange(request("POST /stream/1")) shouldContain event }
    }

    "an answer without a length that a second answer follows is no success" {
        // Guards against a body with another answer at its end.
        val upstream = RawAnswer { _, output, socket ->
            val first = "HTTP/1.1 200 OK\r\nCall-Id: c1\r\n$MARKED\r\nfirst"
            output.write((first + answer("200 OK", "c1", "second", true)).encodeToByteArray())
            output.flush()
            socket.close()
        }
        RouterFixture(upstream).use { it.exchange(request("POST /once/1")) shouldStartWith "HTTP/1.1 502" }
    }

    "a body with a length may hold the text of an answer" {
        // Guards against a whole answer that is lost because it quotes another one.
        val text = answer("200 OK", "c0", "quoted", true)
        RouterFixture({ request, output, _ -> output.write(plainAnswer(request, text)) }).use { fixture ->
            fixture.exchange(request("POST /once/1")) shouldContain text
        }
    }
})
