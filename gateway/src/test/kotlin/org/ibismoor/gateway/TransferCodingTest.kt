/**
 * Messages with a transfer coding that the router does not decode, so that their bodies have no known length.
 */
package org.ibismoor.gateway

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import io.kotest.matchers.string.shouldStartWith
import org.ibismoor.gateway.api.SimpleAnswer
import org.ibismoor.gateway.api.SimpleHandler
import org.ibismoor.gateway.internal.net.createTrafficThread
import org.ibismoor.gateway.internal.net.serveSimple
import org.ibismoor.runtime.api.ListenAddress
import java.net.InetSocketAddress
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.CopyOnWriteArrayList
import java.util.concurrent.TimeUnit

private const val READ_TIMEOUT_MILLIS = 5_000
private const val HEAD = "POST /again/1 HTTP/1.1\r\nHost: desk.example\r\nCall-Id: c1\r\n"
private const val INNER = "POST /once/1 HTTP/1.1\r\nHost: desk.example\r\nCall-Id: c2\r\nContent-Length: 0\r\n\r\n"
private val CHUNKS = "${INNER.length.toString(radix = 16)}\r\n$INNER\r\n0\r\n\r\n"

/** Values of the field, or of two such fields. */
private val UNREADABLE_CODINGS = listOf(
    listOf("gzip"),
    listOf("identity"),
    listOf("xchunked"),
    listOf(""),
    listOf("chunked, gzip"),
    listOf("gzip, chunked"),
    listOf("chunked", "identity"),
    listOf("chunked", "chunked"),
)

private fun fieldsOf(codings: List<String>): String = codings.joinToString("") { "Transfer-Encoding: $it\r\n" }

class TransferCodingTest : StringSpec({
    UNREADABLE_CODINGS.forEach { codings ->
        "the body of a request with the transfer codings $codings is not run as another request" {
            // Guards against work that no caller sent as a request, with the rights of whoever shares the connection.
            RouterFixture({ request, output, _ -> output.write(plainAnswer(request, "done")) }).use { fixture ->
                listOf(INNER, CHUNKS).forEach { body ->
                    fixture.exchange("$HEAD${fieldsOf(codings)}\r\n$body") shouldStartWith "HTTP/1.1 400"
                }
                fixture.receivedRequests.shouldBeEmpty()
            }
        }

        "the body of an operator's or a peer's request with the transfer codings $codings is not handled" {
            // Guards against the same on the internal interfaces of both processes.
            val paths = CopyOnWriteArrayList<String>()
            val text = exchangeWithSimpleServer("$HEAD${fieldsOf(codings)}\r\n$INNER", paths)
            text shouldStartWith "HTTP/1.1 400"
            paths.shouldBeEmpty()
        }

        "an answer with the transfer codings $codings is no success" {
            // Guards against a body that is delivered in a coding which the caller is not told.
            val answer = "HTTP/1.1 200 OK\r\nCall-Id: c1\r\nMark: m\r\n${fieldsOf(codings)}\r\n4\r\nbody\r\n0\r\n\r\n"
            val upstream = RawAnswer { _, output, socket ->
                output.write(answer.encodeToByteArray())
                socket.shutdownOutput()
            }
            RouterFixture(upstream).use { it.exchange(request("POST /once/1")) shouldStartWith "HTTP/1.1 502" }
        }
    }

    "a body in chunks is one request" {
        // Guards against a check that refuses the one coding that is decoded, whatever its case.
        RouterFixture({ request, output, _ -> output.write(plainAnswer(request, "done")) }).use { fixture ->
            fixture.exchange(request("POST /once/1", "Transfer-Encoding: Chunked", body = CHUNKS)) shouldStartWith
                "HTTP/1.1 200"
            fixture.receivedRequests.map { it.body } shouldBe listOf(INNER)
        }
    }

    "an answer of an internal interface to HEAD has no body" {
        // Guards against a body that the client takes for the start of the next answer.
        val text = exchangeWithSimpleServer("HEAD / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n", mutableListOf())
        text.substringAfter("\r\n\r\n") shouldBe ""
    }
})

/** The answers to [text] on one connection; [paths] receives the path of each handled request. */
private fun exchangeWithSimpleServer(text: String, paths: MutableList<String>): String {
    val group = createTrafficThread()
    val handler = SimpleHandler {
        paths += it.path
        CompletableFuture.completedFuture(SimpleAnswer(200, "done"))
    }
    val channel = serveSimple(group, ListenAddress("127.0.0.1", 0), handler = handler)
    return try {
        Socket("127.0.0.1", (channel.localAddress() as InetSocketAddress).port).use { socket ->
            socket.soTimeout = READ_TIMEOUT_MILLIS
            socket.getOutputStream().write(text.encodeToByteArray())
            socket.getInputStream().readAllBytes().decodeToString()
        }
    } finally {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }
}
