/**
 * Connections of callers that end without a whole answer. Each of them is counted by its cause, so that a report of a
 * lost request can be told from a caller that left.
 */
package org.ibismoor.gateway

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldNotContain
import java.util.concurrent.TimeUnit

private const val STREAM_HEAD =
    "HTTP/1.1 200 OK\r\nCall-Id: c1\r\nMark: m\r\nContent-Type: text/event-stream\r\n\r\n"
private const val COUNTER = "ibismoor_cut_answers_total"

/** Sends one event and then nothing more, or closes the connection within the next event. */
private fun streaming(isBroken: Boolean) = RawAnswer { _, output, socket ->
    output.write("${STREAM_HEAD}id: 1\ndata: a\n\nid: 2\n".encodeToByteArray())
    output.flush()
    if (isBroken) socket.close() else TimeUnit.SECONDS.sleep(10)
}

private fun RouterFixture.waitForCut(cause: String) = waitUntil {
    metrics.lineSequence().any { COUNTER in it && "cause=\"$cause\"" in it && it.endsWith(" 1.0") }
}

class CutAnswerRecordTest : StringSpec({
    "an answer that the router gives up after it has started is counted" {
        // Guards against a cut answer that leaves no trace, or only one that looks like a refusal.
        RouterFixture(streaming(isBroken = true)).use { fixture ->
            fixture.exchange(request("POST /stream/1")) shouldContain "data: a"
            fixture.waitForCut("refused_after_start")
        }
    }

    "a caller that closes its connection before the end of its answer is counted as such" {
        RouterFixture(streaming(isBroken = false)).use { fixture ->
            fixture.connect().use { socket ->
                socket.getOutputStream().write(request("POST /stream/1").encodeToByteArray())
                socket.getInputStream().read()
            }
            waitUntil { COUNTER in fixture.metrics }
            fixture.metrics shouldNotContain "refused_after_start"
        }
    }

    "a connection that ends within a request is counted" {
        RouterFixture(streaming(isBroken = true)).use { fixture ->
            fixture.connect().use { socket ->
                socket.getOutputStream().write(request("POST /once/1", "Content-Length: 9").encodeToByteArray())
                TimeUnit.MILLISECONDS.sleep(50)
            }
            fixture.waitForCut("request_incomplete")
        }
    }

    "a whole answer and a whole refusal are not counted" {
        // Guards against a counter that rises on calm days, where it would hide the cases that matter.
        RouterFixture({ request, output, _ -> output.write(plainAnswer(request, "done")) }).use { fixture ->
            fixture.exchange(request("POST /once/1")) shouldContain "done"
            fixture.exchange(request("POST /nowhere/1")) shouldContain "unknown_route"
            fixture.metrics shouldNotContain COUNTER
        }
    }
})
