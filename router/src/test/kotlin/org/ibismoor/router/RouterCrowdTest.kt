package org.ibismoor.router

import io.kotest.core.spec.style.StringSpec
import io.kotest.engine.spec.tempdir
import okhttp3.Request
import okhttp3.RequestBody.Companion.toRequestBody
import org.ibismoor.router.api.RouterMain
import org.ibismoor.standin.api.ServiceSettings
import org.ibismoor.standin.api.startService
import org.ibismoor.testing.CallerPattern
import org.ibismoor.testing.CallerPatterns
import org.ibismoor.testing.CrowdCheck
import org.ibismoor.testing.ProcessBounds
import org.ibismoor.testing.ProcessUnderTest
import org.ibismoor.testing.freePort
import java.io.IOException
import java.net.InetSocketAddress

/** Connections at a time: enough for several times the heap at the legal sizes, few enough for a small machine. */
private const val HEAD_CONNECTIONS = 400
private const val BODY_CONNECTIONS = 64
private const val CROWD_SECONDS = 4
private const val BOOKINGS = "/services/desk/bookings"
private val JAVA_OPTIONS = listOf(
    "-Xmx96m",
    "-Xss256k",
    "-XX:+UseSerialGC",
    "-XX:TieredStopAtLevel=1",
    "-XX:MaxMetaspaceSize=64m",
    "-XX:ReservedCodeCacheSize=24m",
    "-XX:MaxDirectMemorySize=24m",
)

/** The sum of the limits in [JAVA_OPTIONS], and some for threads; and three descriptors for each connection. */
private val BOUNDS = ProcessBounds(bytes = 240L * 1024 * 1024, descriptors = 3 * HEAD_CONNECTIONS)

/** Guards against callers that end a router, or keep it from serving others, with what they make it hold. */
class RouterCrowdTest : StringSpec({
    "a router outlives heads of very many short lines" { crowd("short lines", HEAD_CONNECTIONS) { shortLines } }

    "a router outlives odd lines" { crowd("odd lines", HEAD_CONNECTIONS) { oddLines } }

    "a router outlives endless trailers" { crowd("trailers", HEAD_CONNECTIONS) { trailers } }

    "a router outlives many large bodies at the same time" { crowd("bodies", BODY_CONNECTIONS) { wholeBodies } }

    "a router outlives large bodies that stop just short of their end" {
        crowd("unfinished bodies", BODY_CONNECTIONS) { unfinishedBodies }
    }

    "a router outlives all of them together with slow readers" { crowd("all", HEAD_CONNECTIONS) { all } }
})

private fun StringSpec.crowd(name: String, connections: Int, patterns: CallerPatterns.() -> List<CallerPattern>) {
    val service = startService(ServiceSettings())
    val control = FakeControl(emptyList(), listOf(service.port))
    val port = freePort()
    val arguments = listOf(
        "--router-id",
        "norte-a",
        "--domain",
        "norte",
        "--listen",
        "127.0.0.1:$port",
        "--control",
        "norte=${control.url}",
        "--seed",
        "1",
    )
    val log = tempdir().toPath().resolve("router.txt")
    try {
        ProcessUnderTest(JAVA_OPTIONS, RouterMain::class.java.name, arguments, log).use { router ->
            val start = "POST $BOOKINGS HTTP/1.1\r\nHost: 127.0.0.1:$port\r\nAuthorization: Bearer $API_KEY\r\n"
            CrowdCheck(router, BOUNDS) { isServed(port) }.run(
                "product router, $name",
                InetSocketAddress("127.0.0.1", port),
                CallerPatterns(start).patterns(),
                connections,
                CROWD_SECONDS,
            )
        }
    } finally {
        control.close()
        service.close()
    }
}

private fun isServed(port: Int): Boolean =
    try {
        val request = Request.Builder().url("http://127.0.0.1:$port$BOOKINGS").post("{}".toRequestBody())
            .header("Authorization", "Bearer $API_KEY").header("Connection", "close").build()
        httpClient.newCall(request).execute().use { it.isSuccessful }
    } catch (_: IOException) {
        false
    }
