/**
 * Sound upstreams that fall silent for longer than a router waits before it tries another one, and then go on. Whatever
 * becomes of the other attempt, the caller gets the whole answer.
 */
package org.ibismoor.gateway

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldEndWith
import java.io.OutputStream
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicInteger

/** Longer than a router waits for the next event, or for an answer, before it tries another upstream. */
private const val SILENCE_MILLIS = 1_700L

/** The time of the other upstream's answer, so that the silent one goes on first. */
private const val ANSWER_MILLIS = 200L
private const val HEAD = "HTTP/1.1 200 OK\r\nCall-Id: c1\r\nMark: m\r\nContent-Type: text/event-stream\r\n\r\n"

/** Together more than the buffers of all connections between an upstream and its caller hold. */
private const val EVENT_BYTES = 64 * 1024
private const val EVENTS = 256
private const val LAST_CHUNK = "0\r\n\r\n"

private fun OutputStream.writeNow(text: String) {
    write(text.encodeToByteArray())
    flush()
}

private fun silence() = TimeUnit.MILLISECONDS.sleep(SILENCE_MILLIS)

/** Sends three events and falls silent before the one with the number [silentBefore]. */
private fun pausingStream(silentBefore: Int) = RawAnswer { _, output, socket ->
    output.writeNow(HEAD)
    (1..3).forEach { id ->
        if (id == silentBefore) silence()
        output.writeNow("id: $id\ndata: $id\n\n")
    }
    socket.close()
}

private val pausingAnswer = RawAnswer { request, output, _ ->
    silence()
    output.write(plainAnswer(request, "done"))
}

private val refusing = RawAnswer { request, output, _ ->
    output.writeNow(
        "HTTP/1.1 503 Busy\r\nCall-Id: ${request.header("Call-Id")}\r\nNot-Run: 1\r\nContent-Length: 0\r\n\r\n",
    )
}

private val failing = RawAnswer { request, output, _ ->
    output.writeNow(
        "HTTP/1.1 500 Failed\r\nCall-Id: ${request.header("Call-Id")}\r\nMark: m\r\nContent-Length: 0\r\n\r\n",
    )
}

private val breakingOff = RawAnswer { _, _, socket -> socket.close() }

/** What the upstream may do to which the router turns when the first one is silent; null if there is none. */
private val OTHERS = mapOf(
    "there is no other" to null,
    "the other one refuses the request" to refusing,
    "the other one answers with a failure" to failing,
    "the other one breaks off" to breakingOff,
)

/** The first request goes to an upstream that pauses, all others to [other]. */
private fun withOther(pausing: RawAnswer, other: RawAnswer?): RouterFixture {
    if (other == null) return RouterFixture(pausing)
    val requests = AtomicInteger()
    val shared = RawAnswer { request, output, socket ->
        val answer = if (requests.getAndIncrement() == 0) pausing else other
        answer.write(request, output, socket)
    }
    return RouterFixture(shared, shared)
}

class SilentUpstreamTest : StringSpec({
    OTHERS.forEach { (name, other) ->
        // Guards against callers whose answers end only since an upstream was silent for a second or so: a stream that
        // has begun is cut off then, and the caller gets neither an answer nor a refusal.
        "a stream whose upstream is silent between two events is whole if $name" {
            withOther(pausingStream(silentBefore = 2), other).use { fixture ->
                val answer = fixture.exchange(request("POST /resume/1"))
                (1..3).forEach { answer.split("id: $it\n") shouldHaveSize 2 }
                answer shouldEndWith LAST_CHUNK
            }
        }

        "a stream whose upstream is silent before its first event is whole if $name" {
            withOther(pausingStream(silentBefore = 1), other).use { fixture ->
                val answer = fixture.exchange(request("POST /resume/1"))
                (1..3).forEach { answer.split("id: $it\n") shouldHaveSize 2 }
                answer shouldEndWith LAST_CHUNK
            }
        }

        "an idempotent request whose upstream is silent before its answer is answered if $name" {
            withOther(pausingAnswer, other).use { fixture ->
                fixture.exchange(request("POST /again/1")) shouldContain "done"
            }
        }
    }

    listOf("503 Busy" to "Not-Run: 1", "500 Failed" to "Mark: m").forEach { (status, field) ->
        // Guards against a caller that gets the refusal or failure of the upstream that was silent, since it ends the
        // attempt at the other one, which would have answered. Only a success has a body that goes on.
        "an idempotent request is answered by the other upstream if the silent one ends with $status and a body" {
            val requests = AtomicInteger()
            val answer = RawAnswer { request, output, _ ->
                if (requests.getAndIncrement() == 0) {
                    waitUntil { requests.get() == 2 }
                    output.writeNow(
                        "HTTP/1.1 $status\r\nCall-Id: c1\r\n$field\r\nContent-Length: 4\r\n\r\nbusy",
                    )
                } else {
                    TimeUnit.MILLISECONDS.sleep(ANSWER_MILLIS)
                    output.write(plainAnswer(request, "done"))
                }
            }
            RouterFixture(answer, answer).use { fixture ->
                fixture.exchange(request("POST /again/1")) shouldContain "done"
            }
        }
    }

    "a caller that does not read for a while does not make its upstream look silent" {
        // Guards against a second attempt, and a stream that changes its upstream, since the caller is slow.
        val event = "data: ${"x".repeat(EVENT_BYTES)}\n\n"
        val long = RawAnswer { _, output, socket ->
            output.writeNow(HEAD)
            (1..EVENTS).forEach { output.writeNow("id: $it\n$event") }
            socket.close()
        }
        RouterFixture(long, long).use { fixture ->
            fixture.connect().use { socket ->
                socket.getOutputStream().write(request("POST /resume/1").encodeToByteArray())
                silence()
                val received = String(socket.getInputStream().readAllBytes(), Charsets.ISO_8859_1)
                received.split("id: ") shouldHaveSize EVENTS + 1
                received shouldEndWith LAST_CHUNK
            }
            fixture.receivedRequests shouldHaveSize 1
        }
    }

    "a stream whose upstream stays silent continues at another one, which alone works on it" {
        // Guards against a stream that waits for an upstream that is gone, and against two that work on it for long.
        val requests = AtomicInteger()
        val answer = RawAnswer { request, output, socket ->
            val isFirst = requests.getAndIncrement() == 0
            output.writeNow(if (isFirst) "${HEAD}id: 1\ndata: 1\n\nid: 2\nda" else "${HEAD}id: 2\ndata: 2\n\n")
            if (isFirst) socket.getInputStream().read()
            if (!isFirst) request.header("After") shouldContain "1"
            socket.close()
        }
        RouterFixture(answer, answer).use { fixture ->
            val received = fixture.exchange(request("POST /resume/1"))
            (1..2).forEach { received.split("id: $it\n") shouldHaveSize 2 }
            received shouldEndWith LAST_CHUNK
            waitUntil { fixture.upstreams.sumOf { it.closedConnections.size } == 2 }
        }
    }
})
