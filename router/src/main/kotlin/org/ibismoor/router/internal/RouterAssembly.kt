/**
 * Assembles a router process: one thread for the control state, and the threads of the HTTP server and clients for
 * traffic.
 */
package org.ibismoor.router.internal

import kotlinx.coroutines.CoroutineScope
import kotlinx.coroutines.asCoroutineDispatcher
import kotlinx.coroutines.launch
import org.http4k.server.Http4kServer
import org.ibismoor.core.api.SessionId
import org.ibismoor.router.api.RouterProcess
import org.ibismoor.router.api.RouterSettings
import org.ibismoor.routing.api.DrainRequested
import org.ibismoor.routing.api.RoutingSettings
import org.ibismoor.routing.api.createRouting
import org.ibismoor.routing.api.initialRoutingTables
import org.ibismoor.runtime.api.ControlLoop
import org.ibismoor.runtime.api.createClock
import org.ibismoor.runtime.api.createLog
import org.ibismoor.transport.api.CallerHandler
import org.ibismoor.transport.api.ClientSettings
import org.ibismoor.transport.api.ConnectionCutListener
import org.ibismoor.transport.api.ServerSettings
import org.ibismoor.transport.api.createInternalClient
import org.ibismoor.transport.api.createOkHttpClient
import org.ibismoor.transport.api.createServer
import java.util.UUID
import java.util.concurrent.CompletableFuture
import java.util.concurrent.Executors

/**
 * The control state cancels an attempt at the deadline of its request. A read timeout would, for each token, take a
 * lock shared by all streams and traverse a sorted list of their timeouts.
 */
private const val NO_READ_TIMEOUT_MILLIS = 0L
private const val UPSTREAM_CONNECT_TIMEOUT_MILLIS = 1_000L
private const val MAXIMUM_UPSTREAM_CALLS = 2_000

internal fun startRouterProcess(settings: RouterSettings): RouterProcess {
    val handler = CompletableFuture<CallerHandler>()
    val serverSettings = ServerSettings(settings.host, settings.port, settings.httpLimits)
    val cutListener = CompletableFuture<ConnectionCutListener>()
    val server = createServer(
        serverSettings,
        { cut -> cutListener.thenAccept { it.onCut(cut) } },
    ) { request, caller -> handler.join().handle(request, caller) }.start()
    val router = RunningRouter(settings, server)
    cutListener.complete(router.cutListener)
    handler.complete(router.handler)
    router.start()
    return router
}

private class RunningRouter(private val settings: RouterSettings, private val server: Http4kServer) : RouterProcess {
    private val session = SessionId(UUID.randomUUID().toString())
    private val baseUrl = settings.publicUrl ?: "http://${settings.host}:${server.port()}"
    private val metrics = RouterMetrics { loop.tables }
    private val cuts = AnswerCuts(createLog("router"), metrics) { loop.tables.view.configuration.number }
    private val registry = StreamRegistry(cuts) { loop.post(RoutingInput(it)) }
    private val internalClient = createInternalClient()
    private val loop: ControlLoop<RouterTables, RouterMessage, RouterEffect> = createLoop()
    private val controlThread = Executors.newSingleThreadExecutor { Thread(it, "control").apply { isDaemon = true } }

    override val termination = CompletableFuture<Unit>()
    override val port: Int get() = server.port()

    val handler: CallerHandler = createHandler()
    val cutListener = ConnectionCutListener(cuts::record)

    fun start() {
        val job = CoroutineScope(controlThread.asCoroutineDispatcher()).launch { loop.run() }
        job.invokeOnCompletion { if (it != null) termination.completeExceptionally(it) }
    }

    override fun drain() = loop.post(RoutingInput(DrainRequested))

    override fun close() {
        server.stop()
        loop.close()
        controlThread.shutdown()
        internalClient.close()
    }

    private fun createLoop(): ControlLoop<RouterTables, RouterMessage, RouterEffect> {
        val clock = createClock()
        val domains = settings.controlAddresses.map { it.domain }
        val routingSettings = RoutingSettings(settings.domain, domains, settings.limits)
        val machine = RouterMachine(
            HeartbeatSystem(RouterIdentity(settings.id, settings.domain, baseUrl), domains),
            OutboxSystem(),
            createRouting(routingSettings),
        )
        val routing = initialRoutingTables(routingSettings, session, settings.randomSeed, clock.now())
        return ControlLoop(machine, RouterTables(routing, nextHeartbeatAt = clock.now()), clock, createEffects())
    }

    private fun createEffects(): RouterEffects {
        val addresses = settings.controlAddresses.associate { it.domain to it.baseUrl.trimEnd('/') }
        val controls = ControlDirectory(addresses) { loop.tables.view.configuration.controlMembers.values }
        val messenger = ControlMessenger(session, controls, internalClient) { loop.post(it) }
        return RouterEffects(messenger, registry, metrics) { termination.complete(Unit) }
    }

    private fun createHandler(): CallerHandler {
        val client = UpstreamClient(createOkHttpClient(upstreamSettings()), session)
        val refusals = Refusals({ loop.tables.view }, baseUrl, metrics)
        return RouterHandler(
            state = { loop.tables },
            runner = StreamRunner(registry, refusals),
            chat = ChatForwarder(client, refusals),
            services = ServiceForwarder(client, refusals),
            refusals = refusals,
            endpoints = ReadEndpoints({ loop.tables }, metrics, settings.randomSeed),
        )
    }

    private fun upstreamSettings() =
        ClientSettings(
            connectTimeoutMillis = UPSTREAM_CONNECT_TIMEOUT_MILLIS,
            readTimeoutMillis = NO_READ_TIMEOUT_MILLIS,
            callTimeoutMillis = 0,
            maximumCalls = MAXIMUM_UPSTREAM_CALLS,
        )
}
