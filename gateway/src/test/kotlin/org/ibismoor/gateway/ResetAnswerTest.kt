/**
 * Answers that begin before the server has read the whole request and that end with the connection.
 */
package org.ibismoor.gateway

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.netty.buffer.ByteBuf
import io.netty.handler.codec.http.DefaultHttpHeaders
import io.netty.handler.codec.http.HttpMethod
import io.netty.handler.codec.http.HttpResponse
import org.ibismoor.gateway.internal.net.AnswerListener
import org.ibismoor.gateway.internal.net.ClientPool
import org.ibismoor.gateway.internal.net.HttpCall
import org.ibismoor.gateway.internal.net.createTrafficThread
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit
import kotlin.concurrent.thread

/** More than the buffers of both sockets hold, so that a part of the request waits to be written. */
private const val REQUEST_BYTES = 16 * 1024 * 1024
private const val RECEIVE_BUFFER_BYTES = 8 * 1024
private const val PAUSE_MILLIS = 300L
private const val HEAD = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n"

class ResetAnswerTest : StringSpec({
    "an answer without a length is lost if its connection is reset while the request is written" {
        // Guards against a success with the first part of its body that looks complete.
        eventsOfAnswer { socket -> socket.setSoLinger(true, 0) } shouldContainExactly
            listOf("head", "first half", "failure reset")
    }

    "an answer without a length is complete if the server ends it before it reads the rest of the request" {
        // Guards against an orderly end that is taken for a reset, since the rest of the request is not written either.
        eventsOfAnswer { socket ->
            socket.getOutputStream().write(", second half".encodeToByteArray())
            socket.shutdownOutput()
            socket.getInputStream().readNBytes(REQUEST_BYTES)
        } shouldContainExactly listOf("head", "first half", ", second half", "end")
    }
})

/** What the listener of a call is told whose server begins its answer, runs [finish] and closes the connection. */
private fun eventsOfAnswer(finish: (Socket) -> Unit): List<String> {
    val group = createTrafficThread()
    val events = CopyOnWriteArrayList<String>()
    ServerSocket().use { server ->
        server.receiveBufferSize = RECEIVE_BUFFER_BYTES
        server.bind(InetSocketAddress(InetAddress.getLoopbackAddress(), 0))
        thread(isDaemon = true) { server.accept().use { beginAnswer(it, finish) } }
        val address = "127.0.0.1:${server.localPort}"
        val call = HttpCall(address, HttpMethod.POST, "/", DefaultHttpHeaders(), ByteArray(REQUEST_BYTES))
        group.execute { ClientPool(group).send(call, EventRecorder(events)) }
        waitUntil { events.lastOrNull()?.let { it == "end" || it.startsWith("failure") } == true }
    }
    group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    return events
}

private fun beginAnswer(socket: Socket, finish: (Socket) -> Unit) {
    socket.getOutputStream().write("${HEAD}first half".encodeToByteArray())
    TimeUnit.MILLISECONDS.sleep(PAUSE_MILLIS)
    finish(socket)
}

private class EventRecorder(private val events: MutableList<String>) : AnswerListener {
    override fun onHead(head: HttpResponse): Boolean {
        events += "head"
        return true
    }

    override fun onBody(part: ByteBuf) {
        events += part.toString(Charsets.UTF_8)
    }

    override fun onReadComplete() = Unit

    override fun onEnd() {
        events += "end"
    }

    override fun onFailure(cause: String, isSent: Boolean) {
        events += "failure $cause"
    }
}
