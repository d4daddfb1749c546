/**
 * Runs a router process with scripted upstreams and a control process that answers every report in the same way.
 */
package org.ibismoor.gateway

import org.ibismoor.coordination.api.PublishedConfiguration
import org.ibismoor.coordination.api.ReportAnswer
import org.ibismoor.coordination.api.RouterEntry
import org.ibismoor.coordination.api.UpstreamEntry
import org.ibismoor.coordination.api.UpstreamList
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.RouterId
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.gateway.api.DrainTimes
import org.ibismoor.gateway.api.PlatformFormats
import org.ibismoor.gateway.api.RouterProcess
import org.ibismoor.gateway.api.RouterSettings
import org.ibismoor.gateway.api.SimpleAnswer
import org.ibismoor.gateway.api.SimpleHandler
import org.ibismoor.gateway.api.startRouter
import org.ibismoor.gateway.internal.InternalJson
import org.ibismoor.gateway.internal.net.createTrafficThread
import org.ibismoor.gateway.internal.net.serveSimple
import org.ibismoor.runtime.api.ListenAddress
import org.ibismoor.testing.freePort
import java.net.Socket
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

private const val READ_TIMEOUT_MILLIS = 5_000
private const val POLL_INTERVAL_MILLIS = 20L
private const val MAXIMUM_POLLS = 250

internal class RouterFixture(
    vararg answers: RawAnswer,
    private val drainTimes: DrainTimes = DrainTimes(),
    formats: PlatformFormats = testFormats,
) : AutoCloseable {
    val upstreams = answers.map(::RawUpstream)
    private val group = createTrafficThread()
    private val port = freePort()
    private val controlPort = freePort()
    private val process: RouterProcess

    init {
        val control = SimpleHandler { CompletableFuture.completedFuture(SimpleAnswer(200, reportAnswer())) }
        serveSimple(group, ListenAddress("127.0.0.1", controlPort), handler = control)
        process = startRouter(settings(), formats)
        waitUntil { process.isReady }
    }

    private fun settings(): RouterSettings =
        RouterSettings(
            forwarding = ForwardingSettings(
                router = RouterId("router"),
                entry = RouterEntry("127.0.0.1:$port", FailureDomainId("north")),
                controlHosts = listOf("127.0.0.1"),
                retryRatio = 1.0,
                retrySlack = 1_000,
                retryWindowMillis = 10_000,
            ),
            callerAddress = ListenAddress("127.0.0.1", port),
            controlPort = controlPort,
            routerPort = freePort(),
            drain = drainTimes,
        )

    private fun reportAnswer(): String {
        val entries = upstreams.mapIndexed { number, upstream ->
            UpstreamEntry(UpstreamId("u$number"), WORKERS, upstream.address, FailureDomainId("north"), 4, false, 0)
        }
        val answer = ReportAnswer(
            isLeading = true,
            leader = null,
            replicas = emptyList(),
            configurationVersion = 1,
            configuration = PublishedConfiguration(1, "1", emptyMap()),
            upstreams = UpstreamList(1, entries),
        )
        return InternalJson.encodeToString(answer)
    }

    /** Requests that the upstreams received. */
    val receivedRequests: List<RawRequest> get() = upstreams.flatMap { it.requests }

    val metrics: String get() = process.metrics()

    /** Returns when the process may exit. */
    fun drain() = process.drain()

    fun connect(): Socket = Socket("127.0.0.1", port).also { it.soTimeout = READ_TIMEOUT_MILLIS }

    /** Sends [text] on a new connection and reads until the router closes it. */
    fun exchange(text: String): String =
        connect().use { socket ->
            socket.getOutputStream().write(text.toByteArray(Charsets.ISO_8859_1))
            String(socket.getInputStream().readAllBytes(), Charsets.ISO_8859_1)
        }

    override fun close() {
        upstreams.forEach { it.close() }
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }
}

internal fun waitUntil(condition: () -> Boolean) {
    var polls = 0
    while (!condition() && polls++ < MAXIMUM_POLLS) TimeUnit.MILLISECONDS.sleep(POLL_INTERVAL_MILLIS)
    check(condition()) { "condition not met within ${MAXIMUM_POLLS * POLL_INTERVAL_MILLIS} ms" }
}

internal fun request(line: String, vararg headers: String, body: String = ""): String =
    (listOf("$line HTTP/1.1", "Host: desk.example", "Call-Id: c1", "Connection: close") + headers)
        .joinToString("\r\n", postfix = "\r\n\r\n") + body
