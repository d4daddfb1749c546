package org.ibismoor.gateway

import io.kotest.core.spec.style.StringSpec
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.longs.shouldBeLessThan
import org.ibismoor.coordination.api.Confirmed
import org.ibismoor.coordination.api.RouterEntry
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.RouterId
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.gateway.api.CoordinatorSettings
import org.ibismoor.gateway.api.RouterProcess
import org.ibismoor.gateway.api.RouterSettings
import org.ibismoor.gateway.api.SimpleAnswer
import org.ibismoor.gateway.api.SimpleHandler
import org.ibismoor.gateway.api.startCoordinator
import org.ibismoor.gateway.api.startRouter
import org.ibismoor.gateway.internal.net.createTrafficThread
import org.ibismoor.gateway.internal.net.serveSimple
import org.ibismoor.runtime.api.ListenAddress
import org.ibismoor.testing.freePort
import java.nio.file.Path
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

private const val HOST = "127.0.0.1"

/** Within this time after its confirmation, an order has to be in force at every router. */
private const val EVACUATION_LIMIT_MILLIS = 5_000L
private const val EVACUATED_METRIC = "ibismoor_evacuated_domains{program=\"router\"} %d.0"

class EvacuationPathTest : StringSpec({
    "a confirmed order reaches a running router, and its end too" {
        // Guards against an order that is lost between the operators' call, the log, the report and the router.
        EvacuationFixture(tempdir().toPath()).use { fleet ->
            fleet.order(isEvacuated = true)
            fleet.millisUntilEvacuated(domains = 1) shouldBeLessThan EVACUATION_LIMIT_MILLIS
            fleet.order(isEvacuated = false)
            fleet.millisUntilEvacuated(domains = 0) shouldBeLessThan EVACUATION_LIMIT_MILLIS
        }
    }
})

/** A control process and a router on loopback. */
private class EvacuationFixture(folder: Path) : AutoCloseable {
    private val group = createTrafficThread()
    private val controlPort = freePort()
    private val listPort = freePort()
    private val control = startCoordinator(
        CoordinatorSettings(HOST, controlPort, listOf(HOST), folder, isFirstStart = true, HOST, listPort),
        testFormats,
    )
    private val router: RouterProcess

    init {
        val list = SimpleHandler { CompletableFuture.completedFuture(SimpleAnswer(200, "[]")) }
        serveSimple(group, ListenAddress(HOST, listPort), handler = list)
        router = startRouter(routerSettings(), testFormats)
    }

    private fun routerSettings(): RouterSettings {
        val port = freePort()
        return RouterSettings(
            forwarding = ForwardingSettings(
                router = RouterId("router"),
                entry = RouterEntry("$HOST:$port", FailureDomainId("north")),
                controlHosts = listOf(HOST),
                retryRatio = 1.0,
                retrySlack = 1_000,
                retryWindowMillis = 10_000,
            ),
            callerAddress = ListenAddress(HOST, port),
            controlPort = controlPort,
            routerPort = freePort(),
        )
    }

    /** Sends the order until it is confirmed; the first calls can meet a replica that does not lead yet. */
    fun order(isEvacuated: Boolean) = waitUntil {
        control.orderEvacuation(FailureDomainId("south"), isEvacuated).get() is Confirmed
    }

    fun millisUntilEvacuated(domains: Int): Long {
        val startedAt = System.nanoTime()
        waitUntil { EVACUATED_METRIC.format(domains) in router.metrics() }
        return TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startedAt)
    }

    override fun close() {
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }
}
