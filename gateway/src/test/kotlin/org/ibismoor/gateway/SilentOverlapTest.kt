/**
 * Exchanges with a silent attempt and an effect that sends the request to a second upstream.
 */
package org.ibismoor.gateway

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import org.ibismoor.forwarding.api.AttemptEnded
import org.ibismoor.forwarding.api.AttemptResumed
import org.ibismoor.forwarding.api.AttemptSilent
import org.ibismoor.forwarding.api.NotSent
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.net.SocketTimeoutException
import java.util.concurrent.CountDownLatch
import java.util.concurrent.TimeUnit

private const val SILENCE_MILLIS = 200L
private const val SETTLED_MILLIS = 300L
private const val PROBE_MILLIS = 200
private const val MAXIMUM_BACKLOG = 16
private const val STREAM_HEAD = "HTTP/1.1 200 OK\r\nCall-Id: c1\r\nMark: m\r\nContent-Type: text/event-stream\r\n\r\n"

private val mute = RawAnswer { _, _, socket -> socket.getInputStream().read() }

private val ExchangeFixture.silences: List<AttemptSilent> get() = messages.filterIsInstance<AttemptSilent>()
private val ExchangeFixture.ends: List<AttemptEnded> get() = messages.filterIsInstance<AttemptEnded>()

/** A server whose queue of connections is full, so that a new connection is neither accepted nor refused. */
private class FullServer : AutoCloseable {
    private val server = ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))
    private val sockets = mutableListOf<Socket>()
    val address: String get() = "127.0.0.1:${server.localPort}"

    init {
        while (sockets.size < MAXIMUM_BACKLOG && isAccepting()) Unit
        check(sockets.size < MAXIMUM_BACKLOG) { "the server still accepts connections" }
    }

    private fun isAccepting(): Boolean {
        val socket = Socket()
        return try {
            socket.connect(InetSocketAddress("127.0.0.1", server.localPort), PROBE_MILLIS)
            sockets += socket
            true
        } catch (_: SocketTimeoutException) {
            socket.close()
            false
        }
    }

    override fun close() {
        sockets.forEach { it.close() }
        server.close()
    }
}

class SilentOverlapTest : StringSpec({
    "a silent attempt stays if the other upstream takes no connection" {
        // Guards against an answer that ends since the silent upstream was given up while the connection to the other
        // one was still being opened, which then failed.
        FullServer().use { full ->
            RawUpstream(mute).use { upstream ->
                ExchangeFixture().use { fixture ->
                    val exchange = fixture.exchange()
                    fixture.run { exchange.send(attemptAt(upstream.address, silenceMillis = SILENCE_MILLIS)) }
                    waitUntil { fixture.silences.isNotEmpty() }
                    fixture.run { exchange.send(attemptAt(full.address, attempt = 2, silence = 1)) }
                    waitUntil { fixture.ends.any { it.attempt == 2 } }
                    fixture.ends.filter { it.result is NotSent } shouldHaveSize 1
                    fixture.ends.filter { it.attempt == 1 }.shouldBeEmpty()
                    upstream.closedConnections.shouldBeEmpty()
                }
            }
        }
    }

    "a silence that goes on does not outdate the decision to send the request elsewhere" {
        // Guards against a request that waits until its deadline for an attempt that was never sent, since the control
        // thread decided on it only after the silence was reported again.
        RawUpstream(mute).use { upstream ->
            RawUpstream { request, output, _ -> output.write(plainAnswer(request, "done")) }.use { other ->
                ExchangeFixture().use { fixture ->
                    val exchange = fixture.exchange()
                    fixture.run { exchange.send(attemptAt(upstream.address, silenceMillis = SILENCE_MILLIS)) }
                    waitUntil { fixture.silences.size >= 2 }
                    val first = fixture.silences.first().silence
                    fixture.run { exchange.send(attemptAt(other.address, attempt = 2, silence = first)) }
                    waitUntil { other.requests.isNotEmpty() }
                    waitUntil { fixture.ends.any { it.attempt == 2 } }
                }
            }
        }
    }

    "a silence that has ended outdates the decision to send the request elsewhere" {
        // Guards against two upstreams that work on one stream, since the decision was made for an earlier silence.
        val mayGoOn = CountDownLatch(1)
        val pausing = RawAnswer { _, output, socket ->
            output.write("${STREAM_HEAD}id: 1\ndata: 1\n\n".encodeToByteArray())
            mayGoOn.await()
            output.write("id: 2\ndata: 2\n\n".encodeToByteArray())
            socket.getInputStream().read()
        }
        RawUpstream(pausing).use { upstream ->
            RawUpstream(mute).use { other ->
                ExchangeFixture().use { fixture ->
                    val exchange = fixture.exchange()
                    fixture.run { exchange.send(attemptAt(upstream.address, silenceMillis = SILENCE_MILLIS)) }
                    waitUntil { fixture.silences.isNotEmpty() }
                    val first = fixture.silences.first().silence
                    mayGoOn.countDown()
                    waitUntil { fixture.messages.any { it is AttemptResumed } }
                    waitUntil { fixture.silences.any { it.silence != first } }
                    fixture.run { exchange.send(attemptAt(other.address, attempt = 2, silence = first)) }
                    TimeUnit.MILLISECONDS.sleep(SETTLED_MILLIS)
                    other.requests.shouldBeEmpty()
                    upstream.closedConnections.shouldBeEmpty()
                }
            }
        }
    }
})
