package org.ibismoor.gateway

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldContainExactly
import org.ibismoor.gateway.api.SimpleAnswer
import org.ibismoor.gateway.api.SimpleHandler
import org.ibismoor.gateway.internal.net.createTrafficThread
import org.ibismoor.gateway.internal.net.serveSimple
import org.ibismoor.runtime.api.ListenAddress
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

private const val LATENCY_MILLIS = 200L
private const val READ_TIMEOUT_MILLIS = 5_000

class SimpleServerTest : StringSpec({
    "answers to pipelined requests keep the order of the requests" {
        // Guards against a caller that takes the answer of another request for its own.
        val group = createTrafficThread()
        val handler = SimpleHandler { request ->
            val answer = CompletableFuture<SimpleAnswer>()
            val delay = if (request.path == "/slow") LATENCY_MILLIS else 0
            answer.completeOnTimeout(SimpleAnswer(200, "[${request.path}]"), delay, TimeUnit.MILLISECONDS)
        }
        val channel = serveSimple(group, ListenAddress("127.0.0.1", 0), handler = handler)
        val port = (channel.localAddress() as InetSocketAddress).port
        exchange(port, listOf("/slow", "/fast", "/slow", "/last")) shouldContainExactly
            listOf("[/slow]", "[/fast]", "[/slow]", "[/last]")
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }
})

/** The bodies of the answers, in the order in which they arrive on one connection. */
private fun exchange(port: Int, paths: List<String>): List<String> =
    Socket("127.0.0.1", port).use { socket ->
        socket.soTimeout = READ_TIMEOUT_MILLIS
        val requests = paths.mapIndexed { index, path ->
            val connection = if (index == paths.lastIndex) "close" else "keep-alive"
            "GET $path HTTP/1.1\r\nHost: local\r\nConnection: $connection\r\n\r\n"
        }
        socket.getOutputStream().write(requests.joinToString("").encodeToByteArray())
        val text = socket.getInputStream().readAllBytes().decodeToString()
        Regex("\\[/\\w+]").findAll(text).map { it.value }.toList()
    }
