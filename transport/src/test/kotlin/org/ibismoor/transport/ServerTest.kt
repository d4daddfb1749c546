package org.ibismoor.transport

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldContain
import io.kotest.matchers.string.shouldStartWith
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.http4k.core.Body
import org.http4k.core.Response
import org.http4k.core.Status
import org.http4k.server.Http4kServer
import org.ibismoor.transport.api.CallerHandler
import org.ibismoor.transport.api.ClientSettings
import org.ibismoor.transport.api.HttpLimits
import org.ibismoor.transport.api.ServerSettings
import org.ibismoor.transport.api.createOkHttpClient
import org.ibismoor.transport.api.createServer
import java.io.IOException
import java.io.InputStream
import java.net.Socket
import java.net.SocketException
import java.util.concurrent.CountDownLatch
import java.util.concurrent.LinkedBlockingQueue
import java.util.concurrent.TimeUnit

private const val SILENCE_MILLIS = 1_500L

/** A body of the elements of [parts]; an empty element ends it, and "broken" makes reading fail. */
private class QueueBody(val parts: LinkedBlockingQueue<String>) : InputStream() {
    override fun read(): Int = throw UnsupportedOperationException()

    override fun read(buffer: ByteArray, offset: Int, length: Int): Int {
        val part = parts.poll(20, TimeUnit.SECONDS).orEmpty().toByteArray()
        if (part.decodeToString() == "broken") throw IOException("source failed")
        part.copyInto(buffer, offset)
        return if (part.isEmpty()) -1 else part.size
    }
}

class ServerTest : StringSpec({
    val client = createOkHttpClient(ClientSettings(readTimeoutMillis = 20_000, callTimeoutMillis = 20_000))
    val limits = HttpLimits(bodyBytes = 1_000, bodyBytesByPath = mapOf("/big" to 5_000L), bodyTimeoutMillis = 300)

    fun withServer(handler: CallerHandler, test: (Http4kServer) -> Unit) {
        val server = createServer(ServerSettings("127.0.0.1", 0, limits), handler).start()
        try {
            test(server)
        } finally {
            server.stop()
        }
    }

    fun Http4kServer.url(path: String) = "http://127.0.0.1:${port()}$path"

    fun Http4kServer.exchange(text: String): String =
        Socket("127.0.0.1", port()).use {
            it.getOutputStream().write(text.toByteArray())
            it.getInputStream().readAllBytes().decodeToString()
        }

    "a part of a streamed answer arrives before the next one exists" {
        val parts = LinkedBlockingQueue<String>()
        withServer({ _, _ -> Response(Status.OK).body(Body(QueueBody(parts))) }) { server ->
            parts += "first"
            client.newCall(Request.Builder().url(server.url("/")).build()).execute().use { response ->
                val source = response.body!!.source()
                source.readUtf8(5) shouldBe "first"
                parts += "second"
                source.readUtf8(6) shouldBe "second"
                parts += ""
                source.exhausted() shouldBe true
            }
        }
    }

    "an answer that fails while it is streamed does not look complete" {
        val parts = LinkedBlockingQueue(listOf("first", "broken"))
        withServer({ _, _ -> Response(Status.OK).body(Body(QueueBody(parts))) }) { server ->
            val text = server.exchange("GET / HTTP/1.1\r\nHost: a\r\n\r\n")
            text shouldContain "first"
            text.contains("0\r\n\r\n") shouldBe false
        }
    }

    "a waiting handler is notified that the caller has disconnected" {
        val disconnected = CountDownLatch(1)
        val arrived = CountDownLatch(1)
        val handler = CallerHandler { _, caller ->
            caller.onClosed(disconnected::countDown)
            arrived.countDown()
            disconnected.await(20, TimeUnit.SECONDS)
            Response(Status.OK)
        }
        withServer(handler) { server ->
            val socket = Socket("127.0.0.1", server.port())
            socket.getOutputStream().write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\nab".toByteArray())
            arrived.await(20, TimeUnit.SECONDS) shouldBe true
            socket.close()
            disconnected.await(20, TimeUnit.SECONDS) shouldBe true
        }
    }

    "an answer that is silent for longer than every time limit of the server for its caller is not ended" {
        // Guards against a limit for headers, bodies or idle connections that also runs while an answer is awaited.
        val short = HttpLimits(headerTimeoutMillis = 200, bodyTimeoutMillis = 200, idleTimeoutMillis = 200)
        val parts = LinkedBlockingQueue<String>()
        val handler = CallerHandler { _, _ ->
            TimeUnit.MILLISECONDS.sleep(SILENCE_MILLIS)
            Response(Status.OK).body(Body(QueueBody(parts)))
        }
        val server = createServer(ServerSettings("127.0.0.1", 0, short), handler).start()
        try {
            repeat(2) {
                val request = Request.Builder().url(server.url("/")).post("body".toRequestBody()).build()
                parts += "first"
                client.newCall(request).execute().use { response ->
                    response.body!!.source().readUtf8(5) shouldBe "first"
                    TimeUnit.MILLISECONDS.sleep(SILENCE_MILLIS)
                    parts += listOf("second", "")
                    response.body!!.source().readUtf8() shouldBe "second"
                }
            }
        } finally {
            server.stop()
        }
    }

    "many requests on one connection, pipelined or not, each get their own answer" {
        withServer({ request, _ -> Response(Status.OK).body(Body(request.body.stream)) }) { server ->
            repeat(500) {
                val request = Request.Builder().url(server.url("/")).post("body $it".toRequestBody()).build()
                client.newCall(request).execute().use { it.body!!.string() } shouldBe "body $it"
            }
            val two = (1..2).joinToString("") { "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 2\r\n\r\n$it$it" }
            val last = "GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"
            val answer = server.exchange(two + last)
            answer.windowed(12).count { it == "HTTP/1.1 200" } shouldBe 3
            (answer.indexOf("11") < answer.lastIndexOf("22")) shouldBe true
        }
    }

    "the body of a request with a transfer coding that is not decoded is not handled as another request" {
        // Guards against work that no caller sent as a request.
        listOf("gzip", "identity", "xchunked", "", "chunked, gzip").forEach { coding ->
            val paths = LinkedBlockingQueue<String>()
            val handler = CallerHandler { request, _ ->
                paths += request.uri.path
                Response(Status.OK)
            }
            withServer(handler) { server ->
                val inner = "POST /inner HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"
                val outer = "POST /outer HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: $coding\r\n\r\n"
                server.exchange(outer + inner) shouldStartWith "HTTP/1.1 400"
                paths.toList() shouldBe emptyList()
            }
        }
    }

    "bodies over the limit of their path are refused, with and without a stated length" {
        withServer({ _, _ -> Response(Status.OK) }) { server ->
            fun post(path: String, size: Int): Int {
                val request = Request.Builder().url(server.url(path)).post(ByteArray(size).toRequestBody()).build()
                return client.newCall(request).execute().use { it.code }
            }
            post("/", 1_000) shouldBe 200
            post("/", 1_001) shouldBe 413
            post("/big", 5_000) shouldBe 200
            val chunk = "400\r\n${"a".repeat(1024)}\r\n0\r\n\r\n"
            val head = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n"
            server.exchange(head + chunk) shouldStartWith "HTTP/1.1 413"
        }
    }

    "a caller that does not send its body in time is disconnected, and one that truncates it reaches no handler" {
        val calls = LinkedBlockingQueue<String>()
        val handler = CallerHandler { _, _ -> Response(Status.OK).also { calls += "called" } }
        withServer(handler) { server ->
            val text = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 20\r\n\r\nab"
            val answer = try {
                server.exchange(text)
            } catch (_: SocketException) {
                ""
            }
            answer shouldBe ""
            calls.isEmpty() shouldBe true
        }
    }
})
