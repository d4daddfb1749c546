package org.ibismoor.router

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.shouldBe
import org.http4k.core.Response
import org.http4k.core.Status
import org.ibismoor.transport.api.ServerSettings
import org.ibismoor.transport.api.createServer
import java.net.URI
import java.net.http.HttpClient
import java.net.http.HttpRequest
import java.net.http.HttpResponse
import java.util.concurrent.atomic.AtomicInteger

private const val BOOKINGS = "/services/desk/bookings"
private const val BODY = "the answer of the upstream"

/** The JDK's client, so that no request is sent again by the client under test on the way to the router. */
private val caller: HttpClient = HttpClient.newHttpClient()

private fun book(fleet: TestFleet): HttpResponse<String> {
    val request = HttpRequest.newBuilder(URI(fleet.url + BOOKINGS)).header("Authorization", "Bearer $API_KEY")
        .POST(HttpRequest.BodyPublishers.ofString("{}")).build()
    return caller.send(request, HttpResponse.BodyHandlers.ofString())
}

/** Sends a call that is not idempotent to an upstream that answers every request with [status] and [headers]. */
private fun shouldArriveOnce(status: Int, vararg headers: Pair<String, String>) {
    val arrivals = AtomicInteger()
    val server = createServer(ServerSettings("127.0.0.1", 0)) { request, _ ->
        arrivals.incrementAndGet()
        Response(Status(status, null)).headers(headers.toList())
            .header("X-Request-Id", request.header("X-Request-Id")).body(BODY)
    }.start()
    server.use {
        TestFleet(emptyList(), otherUpstreams = listOf(it.port())).use { fleet ->
            val answer = book(fleet)
            withClue("arrivals at the upstream") { arrivals.get() shouldBe 1 }
            answer.statusCode() shouldBe status
            answer.headers().allValues("Retry-After") shouldBe headers.filter { it.first == "Retry-After" }
                .map { it.second }
            answer.body() shouldBe BODY
        }
    }
}

/** Guards against an HTTP client that acts on the status of an answer itself and may so run a request twice. */
class UpstreamResendTest : StringSpec({
    // Guards against a client that sends a request again at once because the answer allows it without a delay.
    "a booking answered 503 with Retry-After: 0 is sent once" {
        shouldArriveOnce(503, "Retry-After" to "0")
    }

    // Guards against a change of Retry-After on the way to the caller where no client would act on it.
    "a booking answered 503 with Retry-After: 7 is sent once" {
        shouldArriveOnce(503, "Retry-After" to "7")
    }

    // Guards against a client that takes a timeout reported by the upstream for a failure of the connection.
    "a booking answered 408 is sent once" {
        shouldArriveOnce(408, "Retry-After" to "0")
    }

    // Guards against a client that sends a request again on another connection because the first was misdirected.
    "a booking answered 421 is sent once" {
        shouldArriveOnce(421, "Retry-After" to "0")
    }

    // Guards against a client that follows a redirect, which sends the request again to the address of the upstream.
    "a booking answered 307 is sent once" {
        shouldArriveOnce(307, "Location" to BOOKINGS.removePrefix("/services/desk"), "Retry-After" to "0")
    }

    // Guards against a client that sends a request again with credentials.
    "a booking answered 401 is sent once" {
        shouldArriveOnce(401, "WWW-Authenticate" to "Basic realm=\"desk\"", "Retry-After" to "0")
    }

    // Guards against a client that drops an answer that asks for proxy credentials, so that its request seems lost.
    "a booking answered 407 is sent once" {
        shouldArriveOnce(407, "Proxy-Authenticate" to "Basic realm=\"desk\"", "Retry-After" to "0")
    }
})
