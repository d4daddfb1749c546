/**
 * A scripted upstream on a plain socket. It records each request byte for byte and writes the answer of the test.
 */
package org.ibismoor.gateway

import java.io.BufferedInputStream
import java.io.IOException
import java.io.InputStream
import java.io.OutputStream
import java.net.InetAddress
import java.net.InetSocketAddress
import java.net.ServerSocket
import java.net.Socket
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.atomic.AtomicInteger
import kotlin.concurrent.thread

private const val BACKLOG = 50

/** Small, so that most of a long request waits in the router while its answer begins. */
private const val EARLY_RECEIVE_BUFFER_BYTES = 8 * 1024

internal class RawRequest(val head: String, val body: String, val connection: Int) {
    val firstLine: String get() = head.substringBefore("\r\n")

    fun header(name: String): String? =
        head.lineSequence().firstOrNull { it.startsWith("$name:", ignoreCase = true) }?.substringAfter(':')?.trim()
}

/** Writes the answer to a request. Closing the socket ends the connection. */
internal fun interface RawAnswer {
    fun write(request: RawRequest, output: OutputStream, socket: Socket)
}

/** An answer that begins before the body of the request is read. */
internal class EarlyAnswer(private val answer: RawAnswer) : RawAnswer by answer

internal class RawUpstream(private val answer: RawAnswer) : AutoCloseable {
    private val server = ServerSocket()
    private val connections = AtomicInteger()
    val requests = CopyOnWriteArrayList<RawRequest>()
    val closedConnections = CopyOnWriteArrayList<Int>()
    val address: String get() = "127.0.0.1:${server.localPort}"

    init {
        if (answer is EarlyAnswer) server.receiveBufferSize = EARLY_RECEIVE_BUFFER_BYTES
        server.bind(InetSocketAddress(InetAddress.getByName("127.0.0.1"), 0), BACKLOG)
        thread(isDaemon = true) { accept() }
    }

    private fun accept() {
        try {
            while (true) {
                val socket = server.accept()
                val number = connections.incrementAndGet()
                thread(isDaemon = true) { serve(socket, number) }
            }
        } catch (_: IOException) {
            // The test closed the upstream.
            return
        }
    }

    private fun serve(socket: Socket, number: Int) {
        try {
            val input = BufferedInputStream(socket.getInputStream())
            var request = read(input, number)
            while (request != null) {
                requests += request
                answer.write(request, socket.getOutputStream(), socket)
                request = if (socket.isClosed) null else read(input, number)
            }
        } catch (_: IOException) {
            // A router that cancels an attempt closes the connection; `closedConnections` records that.
        } finally {
            closedConnections += number
            socket.close()
        }
    }

    private fun read(input: InputStream, number: Int): RawRequest? {
        val head = StringBuilder()
        while (!head.endsWith("\r\n\r\n")) {
            val byte = input.read()
            if (byte < 0) return null
            head.append(byte.toChar())
        }
        val length = head.lineSequence().firstOrNull { it.startsWith("content-length:", ignoreCase = true) }
            ?.substringAfter(':')?.trim()?.toInt()?.takeUnless { answer is EarlyAnswer } ?: 0
        return RawRequest(head.toString(), String(input.readNBytes(length), Charsets.ISO_8859_1), number)
    }

    override fun close() = server.close()
}

/** A success with the identifier of [request] and the mark of a computed answer. */
internal fun plainAnswer(request: RawRequest, body: String, extra: String = ""): ByteArray =
    (
        "HTTP/1.1 200 OK\r\nCall-Id: ${request.header("Call-Id")}\r\nMark: m\r\n$extra" +
            "Content-Length: ${body.length}\r\n\r\n$body"
        ).encodeToByteArray()
