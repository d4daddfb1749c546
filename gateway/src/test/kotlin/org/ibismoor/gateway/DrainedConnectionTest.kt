/**
 * Connections of callers at the end of a drain. The process exits when the drain returns, so a request that the router
 * reads after that, or an answer that is not written yet, is lost without a line in the log.
 */
package org.ibismoor.gateway

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldEndWith
import org.ibismoor.gateway.api.DrainTimes
import java.net.Socket
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** Longer than it takes to pass a request on. */
private const val PASS_ON_MILLIS = 500L
private const val LAST_CHUNK = "0\r\n\r\n"
private const val FIRST_EVENT = "id: 1\ndata: a\n\n"
private val shortDrain = DrainTimes(stopListeningAfterMillis = 100, closeIdleAfterMillis = 200)

/** Streams one event, and ends the stream when [end] opens. */
private fun streamUntil(end: CountDownLatch) = RawAnswer { request, output, socket ->
    val head = "HTTP/1.1 200 OK\r\nCall-Id: ${request.header("Call-Id")}\r\nMark: m\r\n"
    output.write("${head}Content-Type: text/event-stream\r\n\r\n$FIRST_EVENT".encodeToByteArray())
    output.flush()
    end.await(10, TimeUnit.SECONDS)
    socket.close()
}

private fun keptRequest(line: String): String = request(line).replace("Connection: close\r\n", "")

private fun Socket.send(text: String) = getOutputStream().write(text.encodeToByteArray())

private fun Socket.readUntil(text: String): String {
    val read = StringBuilder()
    while (text !in read) {
        val byte = getInputStream().read()
        check(byte >= 0) { "connection ended after: $read" }
        read.append(byte.toChar())
    }
    return read.toString()
}

class DrainedConnectionTest : StringSpec({
    "a kept connection whose answer began before a drain is closed after that answer" {
        // Guards against a request on that connection which is read, and may run, while the process exits.
        val end = CountDownLatch(1)
        RouterFixture(streamUntil(end), drainTimes = shortDrain).use { fixture ->
            fixture.connect().use { socket ->
                socket.send(keptRequest("POST /stream/1"))
                socket.readUntil(FIRST_EVENT)
                val drain = thread { fixture.drain() }
                TimeUnit.MILLISECONDS.sleep(2 * shortDrain.closeIdleAfterMillis)
                drain.isAlive shouldBe true
                end.countDown()
                String(socket.getInputStream().readAllBytes()) shouldEndWith LAST_CHUNK
                drain.join()
            }
            fixture.receivedRequests shouldHaveSize 1
        }
    }

    "a request that is sent after the end of a drain reaches no upstream" {
        // Guards against a request that runs although the process exits before its answer.
        val end = CountDownLatch(1)
        RouterFixture(streamUntil(end), drainTimes = shortDrain).use { fixture ->
            fixture.connect().use { socket ->
                socket.send(keptRequest("POST /stream/1"))
                socket.readUntil(FIRST_EVENT)
                val drain = thread { fixture.drain() }
                TimeUnit.MILLISECONDS.sleep(2 * shortDrain.closeIdleAfterMillis)
                end.countDown()
                socket.readUntil(LAST_CHUNK)
                drain.join()
                socket.send(keptRequest("POST /stream/2"))
                TimeUnit.MILLISECONDS.sleep(PASS_ON_MILLIS)
            }
            fixture.receivedRequests shouldHaveSize 1
        }
    }

    "a request whose last bytes arrive late in a drain is answered before the process exits" {
        // Guards against a drain that ends while a request is being read, which then gets no answer.
        val answering = RawAnswer { request, output, _ -> output.write(plainAnswer(request, "done")) }
        RouterFixture(answering, drainTimes = shortDrain).use { fixture ->
            fixture.connect().use { socket ->
                socket.send(request("POST /once/1", "Content-Length: 2", body = "a"))
                val drain = thread { fixture.drain() }
                TimeUnit.MILLISECONDS.sleep(2 * shortDrain.closeIdleAfterMillis)
                drain.isAlive shouldBe true
                socket.send("b")
                String(socket.getInputStream().readAllBytes()) shouldEndWith "done"
                drain.join()
            }
        }
    }
})
