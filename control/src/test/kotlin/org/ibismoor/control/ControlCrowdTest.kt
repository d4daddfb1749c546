package org.ibismoor.control

import io.kotest.core.spec.style.StringSpec
import io.kotest.engine.spec.tempdir
import org.ibismoor.control.api.ControlMain
import org.ibismoor.control.api.initialiseMember
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.testing.CallerPattern
import org.ibismoor.testing.CallerPatterns
import org.ibismoor.testing.CrowdCheck
import org.ibismoor.testing.ProcessBounds
import org.ibismoor.testing.ProcessUnderTest
import org.ibismoor.testing.freePort
import org.ibismoor.transport.api.InternalPaths
import java.io.IOException
import java.net.HttpURLConnection
import java.net.InetSocketAddress
import java.net.URI

/** Connections at a time: enough for several times the heap at the legal sizes, few enough for a small machine. */
private const val HEAD_CONNECTIONS = 400
private const val BODY_CONNECTIONS = 64
private const val CROWD_SECONDS = 4
private const val READ_TIMEOUT_MILLIS = 2_000
private const val OK = 200
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

/** Guards against callers that end a control process, or keep it from serving others, with what they make it hold. */
class ControlCrowdTest : StringSpec({
    "a control process outlives heads of very many short lines" {
        crowd("short lines", HEAD_CONNECTIONS) { shortLines }
    }

    "a control process outlives odd lines" { crowd("odd lines", HEAD_CONNECTIONS) { oddLines } }

    "a control process outlives endless trailers" { crowd("trailers", HEAD_CONNECTIONS) { trailers } }

    "a control process outlives many large bodies at the same time" {
        crowd("bodies", BODY_CONNECTIONS) { wholeBodies }
    }

    "a control process outlives large bodies that stop just short of their end" {
        crowd("unfinished bodies", BODY_CONNECTIONS) { unfinishedBodies }
    }

    "a control process outlives all of them together with slow readers" { crowd("all", HEAD_CONNECTIONS) { all } }
})

private fun StringSpec.crowd(name: String, connections: Int, patterns: CallerPatterns.() -> List<CallerPattern>) {
    val folder = tempdir().toPath()
    val member = ReplicaId(FailureDomainId("norte-1"), 1)
    val port = freePort()
    check(initialiseMember(folder.resolve("data"), member, listOf(member)) == null)
    val arguments = listOf(
        "run",
        "--data-folder",
        folder.resolve("data").toString(),
        "--replica",
        member.toString(),
        "--listen",
        "127.0.0.1:$port",
        "--peers",
        "$member=http://127.0.0.1:$port",
    )
    val log = folder.resolve("control.txt")
    ProcessUnderTest(JAVA_OPTIONS, ControlMain::class.java.name, arguments, log).use { control ->
        CrowdCheck(control, BOUNDS) { isAnswering(port) }.run(
            "product control, $name",
            InetSocketAddress("127.0.0.1", port),
            CallerPatterns("POST ${InternalPaths.PUBLICATIONS} HTTP/1.1\r\nHost: 127.0.0.1:$port\r\n").patterns(),
            connections,
            CROWD_SECONDS,
        )
    }
}

private fun isAnswering(port: Int): Boolean =
    try {
        val call = URI("http://127.0.0.1:$port${InternalPaths.STATUS}").toURL().openConnection() as HttpURLConnection
        call.connectTimeout = READ_TIMEOUT_MILLIS
        call.readTimeout = READ_TIMEOUT_MILLIS
        call.setRequestProperty("Connection", "close")
        call.responseCode == OK
    } catch (_: IOException) {
        false
    }
