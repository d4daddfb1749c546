/**
 * Answers that are incomplete or whose status is none, for work that may and work that must not run twice.
 */
package org.ibismoor.gateway

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.longs.shouldBeLessThan
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith
import io.kotest.matchers.string.shouldNotContain
import io.kotest.matchers.string.shouldStartWith
import org.ibismoor.forwarding.api.ForwardingConfiguration
import org.ibismoor.gateway.api.ConfigurationFormat
import org.ibismoor.gateway.api.PlatformFormats
import java.io.OutputStream
import java.net.Socket
import java.util.concurrent.TimeUnit

/** More than the buffers of both sockets hold, so that a part of the request waits to be written. */
private const val UPLOAD_BYTES = 12 * 1024 * 1024
private const val CHUNK_BYTES = 1024 * 1024
private const val PAUSE_MILLIS = 200L
private const val FIELDS = "Call-Id: c1\r\nMark: m\r\n"
private const val HEAD = "HTTP/1.1 200 OK\r\n$FIELDS"
private const val HALF = "first half"
private const val WHOLE = "first half, second half"
private const val DEADLINE_MILLIS = 1_000L

/** Below the route's time limit of 3 s: an attempt that ends within it has not ended with that limit. */
private const val MAXIMUM_MILLIS = 2_900L
private const val FAILED_ATTEMPTS = "kind=\"attempt_failed\""
private val STATUSES = listOf("000", "099", "600", "1000", "20", "7", "0200", "+200", "-200", "OK", "2x0", "101")

private object LongBodies : ConfigurationFormat by TestConfigurations {
    override fun read(document: String): ForwardingConfiguration =
        TestConfigurations.read(document).let { it.copy(limits = it.limits.copy(bodyBytes = UPLOAD_BYTES)) }
}

private val longBodies = PlatformFormats(TestDialect, LongBodies, TestLists)

/** Writes [parts] while the request is still being written to it, and [end]s the connection. */
private fun early(vararg parts: String, end: (Socket) -> Unit) = EarlyAnswer { _, output, socket ->
    parts.forEach { output.writeNow(it) }
    end(socket)
    socket.close()
}

private fun OutputStream.writeNow(text: String) {
    write(text.encodeToByteArray())
    flush()
    TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS)
}

private fun reset(socket: Socket) = socket.setSoLinger(true, 0)

private fun endOrderly(socket: Socket) {
    socket.shutdownOutput()
    socket.getInputStream().skipNBytes(UPLOAD_BYTES / 2L)
}

private fun waitForClose(socket: Socket) {
    while (socket.getInputStream().read() >= 0) Unit
}

/** One answer to every request, on a connection that stays open. */
private fun answering(text: String) = RawAnswer { _, output, _ -> output.write(text.encodeToByteArray()) }

private fun uploads(path: String, vararg headers: String): Map<String, String> {
    val chunk = "${CHUNK_BYTES.toString(16)}\r\n${"a".repeat(CHUNK_BYTES)}\r\n"
    val chunks = chunk.repeat(UPLOAD_BYTES / CHUNK_BYTES) + "0\r\n\r\n"
    val line = "POST /$path/1"
    return mapOf(
        "$path with a length" to
            request(line, "Content-Length: $UPLOAD_BYTES", *headers, body = "a".repeat(UPLOAD_BYTES)),
        "$path in chunks" to request(line, "Transfer-Encoding: chunked", *headers, body = chunks),
    )
}

/** Attempts at a request on [path] whose answers are lost. */
private fun attemptsOn(path: String): Int = if (path == "once") 1 else 2

private fun RouterFixture.shouldHaveLost(attempts: Int) {
    receivedRequests shouldHaveSize attempts
    waitUntil {
        metrics.lineSequence().any {
            "ibismoor_decisions_total" in it && FAILED_ATTEMPTS in it && it.endsWith(" $attempts.0")
        }
    }
}

/** Sends [text] to a router whose upstreams give [answer], and checks that no part of it is delivered. */
private fun checkLost(path: String, text: String, answer: RawAnswer) {
    RouterFixture(answer, answer, formats = longBodies).use { fixture ->
        val delivered = fixture.exchange(text)
        delivered shouldStartWith "HTTP/1.1 502"
        delivered shouldContain "may_have_run"
        delivered shouldNotContain HALF
        fixture.shouldHaveLost(attemptsOn(path))
    }
}

class MalformedAnswerTest : StringSpec({
    listOf("once", "again").forEach { path ->
        "an answer without a length that is reset during a long upload is lost on $path" {
            // Guards against a success with the first part of its body that looks complete.
            uploads(path).forEach { (clue, text) ->
                withClue(clue) { checkLost(path, text, early("$HEAD\r\n$HALF", end = ::reset)) }
            }
        }

        "an answer without a length that ends orderly during a long upload is delivered whole on $path" {
            // Guards against an orderly end that is taken for a reset, and against an answer without its last part.
            uploads(path).forEach { (clue, text) ->
                val upstream = early("$HEAD\r\n$HALF", WHOLE.removePrefix(HALF), end = ::endOrderly)
                withClue(clue) {
                    RouterFixture(upstream, upstream, formats = longBodies).use { fixture ->
                        val delivered = fixture.exchange(text)
                        delivered shouldStartWith "HTTP/1.1 200"
                        delivered shouldEndWith "\r\n\r\n$WHOLE"
                        fixture.receivedRequests shouldHaveSize 1
                    }
                }
            }
        }

        "an answer with a length that ends orderly before its last byte is lost on $path" {
            // Guards against a part of an answer that is delivered although its length tells that it is one.
            val upstream = early("${HEAD}Content-Length: ${WHOLE.length}\r\n\r\n$HALF", end = ::endOrderly)
            uploads(path).forEach { (clue, text) -> withClue(clue) { checkLost(path, text, upstream) } }
        }

        "a reset after the last byte of a body with a length does not lose it on $path" {
            // Guards against work that is done again, or reported as lost, although its answer is whole.
            val answer = "${HEAD}Content-Length: ${WHOLE.length}\r\n\r\n$WHOLE"
            val texts = uploads(path) + ("short" to request("POST /$path/1"))
            texts.forEach { (clue, text) ->
                val upstream = early(answer, end = ::reset)
                withClue(clue) {
                    RouterFixture(upstream, upstream, formats = longBodies).use { fixture ->
                        fixture.exchange(text) shouldEndWith "\r\n\r\n$WHOLE"
                        fixture.receivedRequests shouldHaveSize 1
                    }
                }
            }
        }

        "an answer without a length whose upload is cut by the router is lost on $path" {
            // Guards against the router's own close of the connection that is taken for the end of the answer.
            val upstream = early("$HEAD\r\n$HALF", end = ::waitForClose)
            uploads(path, "Deadline: $DEADLINE_MILLIS").forEach { (clue, text) ->
                withClue(clue) {
                    RouterFixture(upstream, upstream, formats = longBodies).use { fixture ->
                        val delivered = fixture.exchange(text)
                        delivered shouldStartWith "HTTP/1.1 504"
                        delivered shouldNotContain HALF
                        if (path == "once") fixture.receivedRequests shouldHaveSize 1
                    }
                }
            }
        }

        STATUSES.forEach { status ->
            "an answer with status $status is lost on $path" {
                // Guards against an answer of a broken upstream that is passed on, or waited for until the deadline.
                val answer = "HTTP/1.1 $status OK\r\n${FIELDS}Content-Length: ${HALF.length}\r\n\r\n$HALF"
                val startedAt = System.nanoTime()
                checkLost(path, request("POST /$path/1"), answering(answer))
                TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt) shouldBeLessThan MAXIMUM_MILLIS
            }
        }

        "an answer after one with a malformed status is not delivered on $path" {
            // Guards against a malformed answer that is skipped like an interim one.
            val second = "${HEAD}Content-Length: ${HALF.length}\r\n\r\n$HALF"
            checkLost(path, request("POST /$path/1"), answering("HTTP/1.1 000 OK\r\n$FIELDS\r\n$second"))
        }

        "an informational status that never ends is lost on $path" {
            // Guards against interim answers that keep an attempt open for ever, or that are passed on.
            val interim = "HTTP/1.1 102 Processing\r\nCall-Id: c1\r\n"
            val endless = RawAnswer { _, output, _ ->
                while (true) output.write("$interim\r\n".encodeToByteArray())
            }
            checkLost(path, request("POST /$path/1"), endless)
            val unfinished = listOf("$interim\r\n", interim, "${interim}Mark: m\r\n\r\n$HALF")
            unfinished.map(::answering).forEach { upstream ->
                RouterFixture(upstream, upstream).use { fixture ->
                    val delivered = fixture.exchange(request("POST /$path/1", "Deadline: $DEADLINE_MILLIS"))
                    delivered shouldStartWith "HTTP/1.1 50"
                    delivered shouldNotContain HALF
                    if (path == "once") fixture.receivedRequests shouldHaveSize 1
                }
            }
        }
    }
})
