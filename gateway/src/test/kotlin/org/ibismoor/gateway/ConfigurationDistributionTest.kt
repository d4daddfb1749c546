package org.ibismoor.gateway

import io.kotest.core.spec.style.StringSpec
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.longs.shouldBeLessThan
import org.ibismoor.coordination.api.Confirmed
import org.ibismoor.coordination.api.PublishedConfiguration
import org.ibismoor.coordination.api.RouterEntry
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.RouterId
import org.ibismoor.forwarding.api.ForwardingConfiguration
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.gateway.api.ConfigurationFormat
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
import kotlin.random.Random

private const val HOST = "127.0.0.1"

/** One of 95 equal shares of a link of 100 Mbit/s. */
private const val SHARE_BYTES_PER_SECOND = 131_000L

/** Within this time after its confirmation, a configuration has to be in force at every router. */
private const val APPLY_LIMIT_MILLIS = 2_500L
private const val ROUTES = 1_000
private const val INCOMPRESSIBLE_CHARACTERS = 200_000
private const val SEED = 17
private const val IN_FORCE_METRIC = "ibismoor_configuration_version{program=\"router\"} %d.0"

class ConfigurationDistributionTest : StringSpec({
    "a configuration of 1,000 routes reaches a router over its share of the leader's link in time" {
        // Guards against routers that keep an old configuration, and refuse new routes, after a large publication.
        DistributionFixture(tempdir().toPath()).use { fleet ->
            fleet.publish(1, "")
            fleet.awaitVersion(1)
            val startedAt = System.nanoTime()
            fleet.publish(2, routesText())
            fleet.awaitVersion(2)
            millisSince(startedAt) shouldBeLessThan APPLY_LIMIT_MILLIS
        }
    }

    "a document that takes longer to arrive than a report may take is received in one piece" {
        // Guards against transfers that are abandoned and begun again without end while their bytes keep arriving.
        DistributionFixture(tempdir().toPath()).use { fleet ->
            fleet.publish(1, "")
            fleet.awaitVersion(1)
            val bytesBefore = fleet.link.sentBytes
            fleet.publish(2, incompressibleText())
            fleet.awaitVersion(2)
            fleet.link.sentBytes - bytesBefore shouldBeLessThan 2L * INCOMPRESSIBLE_CHARACTERS
        }
    }
})

private fun millisSince(nanos: Long): Long = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - nanos)

/** Routes in the form in which operators publish them, with random names. */
private fun routesText(): String {
    val random = Random(SEED)
    return List(ROUTES) {
        """{"name":"r-${random.name()}","host":"${random.name()}.example","pathPrefix":"/${random.name()}/",""" +
            """"kind":"streaming","timeoutMs":3000,"targetLatencyMs":400,"priority":0,"service":"workers",""" +
            """"maxAttempts":1,"public":false,"sticky":true,"resumable":false,"gapTargetMs":300}"""
    }.joinToString(",")
}

private fun incompressibleText(): String = Random(SEED).let { random ->
    String(CharArray(INCOMPRESSIBLE_CHARACTERS) { ('a' + random.nextInt('z' - 'a' + 1)) })
}

private fun Random.name(): String = String(CharArray(8) { 'a' + nextInt('z' - 'a' + 1) })

/** Documents are a version, a space and text that only adds to the size. */
private object SizedConfigurations : ConfigurationFormat by TestConfigurations {
    override fun read(document: String): ForwardingConfiguration =
        TestConfigurations.read(document.substringBefore(' '))
}

/** A control process, and a router whose path to it is a [SlowLink]. */
private class DistributionFixture(folder: Path) : AutoCloseable {
    private val formats = testFormats.copy(configuration = SizedConfigurations)
    private val group = createTrafficThread()
    private val controlPort = freePort()
    private val listPort = freePort()
    private val control = startCoordinator(controlSettings(folder), formats)
    val link = SlowLink(controlPort, SHARE_BYTES_PER_SECOND)
    private val router: RouterProcess

    init {
        val list = SimpleHandler { CompletableFuture.completedFuture(SimpleAnswer(200, "[]")) }
        serveSimple(group, ListenAddress(HOST, listPort), handler = list)
        router = startRouter(routerSettings(), formats)
    }

    private fun controlSettings(folder: Path) =
        CoordinatorSettings(HOST, controlPort, listOf(HOST), folder, isFirstStart = true, HOST, listPort)

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
            controlPort = link.port,
            routerPort = freePort(),
        )
    }

    /** Publishes [version] until it is confirmed; the first calls can meet a replica that does not lead yet. */
    fun publish(version: Long, text: String) = waitUntil {
        control.publish(PublishedConfiguration(version, "$version $text", emptyMap())).get() is Confirmed
    }

    fun awaitVersion(version: Long) = waitUntil { IN_FORCE_METRIC.format(version) in router.metrics() }

    override fun close() {
        link.close()
        group.shutdownGracefully(0, 0, TimeUnit.SECONDS)
    }
}
