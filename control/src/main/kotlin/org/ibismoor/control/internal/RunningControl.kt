/**
 * A control process: one thread runs the state machine of the replica; others serve HTTP, send messages and poll.
 */
package org.ibismoor.control.internal

import io.micrometer.prometheusmetrics.PrometheusMeterRegistry
import kotlinx.coroutines.Job
import org.http4k.core.HttpHandler
import org.http4k.server.Http4kServer
import org.ibismoor.control.api.ControlProcess
import org.ibismoor.control.api.ControlProcessSettings
import org.ibismoor.fleet.api.ControlEffect
import org.ibismoor.fleet.api.ControlLogs
import org.ibismoor.fleet.api.ControlMessage
import org.ibismoor.fleet.api.ControlStart
import org.ibismoor.fleet.api.ControlTables
import org.ibismoor.fleet.api.ShutdownRequested
import org.ibismoor.fleet.api.createControl
import org.ibismoor.fleet.api.restoreControl
import org.ibismoor.runtime.api.ControlLoop
import org.ibismoor.runtime.api.createClock
import org.ibismoor.runtime.api.createLog
import org.ibismoor.runtime.api.createMetrics
import org.ibismoor.runtime.api.startControlThread
import org.ibismoor.transport.api.HttpLimits
import org.ibismoor.transport.api.InternalClient
import org.ibismoor.transport.api.InternalPaths
import org.ibismoor.transport.api.ServerSettings
import org.ibismoor.transport.api.createServer
import java.io.IOException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicReference

private const val MAXIMUM_PUBLICATION_BYTES = 64L * 1024 * 1024
private const val LEADERSHIP_TRANSFER_TIMEOUT_MILLIS = 2_000L
private const val LEADERSHIP_TRANSFER_POLL_MILLIS = 50L

internal class RunningControl(
    settings: ControlProcessSettings,
    private val folder: DataFolder,
    identity: FolderIdentity,
    private val client: InternalClient,
) : ControlProcess, ControlPort {
    private val currentIdentity = AtomicReference(identity)
    private val clock = createClock()
    private val metrics: PrometheusMeterRegistry = createMetrics("control")
    private val meters = ControlMeters(metrics)
    private val exchanges = PendingExchanges()
    private val addresses = PeerAddresses(settings.peers)
    private val log = createLog("control")
    private val dispatcher = EffectDispatcher(client, exchanges, addresses, meters, this)
    private val loop: ControlLoop<ControlTables, ControlMessage, ControlEffect> =
        ControlLoop(
            createControl(JsonFleetCodec, settings.control),
            restoreTables(settings),
            clock,
            ControlEffects(folder, dispatcher, meters.syncTimer),
        )
    private val polls = UpstreamPolls(client, this, settings.platformUrl, meters)
    private val services =
        LedgerRoutes(this, exchanges, meters).all +
            PeerRoutes(settings.replica, this, exchanges).all +
            OperatorRoutes(this, exchanges, addresses, meters).all
    private val handler: HttpHandler = controlRoutes(this, currentIdentity::get, services, metrics)
    private val server: Http4kServer = createServer(serverSettings(settings)) { request, _ -> handler(request) }

    /** Null until the control thread starts, then set once. */
    @Volatile
    private var controlJob: Job? = null

    override val termination = CompletableFuture<Unit>()
    override val tables: ControlTables get() = loop.tables
    override val port: Int get() = server.port()
    val isRunning: Boolean get() = controlJob != null

    override fun post(message: ControlMessage) = loop.post(message)

    /** Starts the server, which refuses messages until [run]. Throws `IOException` if the address cannot be used. */
    fun listen() {
        folder.tornTails.forEach {
            log.warn("cut a torn tail", "file" to it.file, "offset" to it.offset, "bytes" to it.bytes)
        }
        meters.registerGauges(this, folder, exchanges)
        start(server)
        log.info("listening", "replica" to tables.replica, "port" to server.port())
    }

    /** Stores the folders of the other founders. From now on [IDENTITY_PATH] reports them. */
    fun recordPeerFolders(records: List<FolderRecord>) {
        folder.identity.append(records)
        currentIdentity.updateAndGet { it.withRecords(records) }
    }

    fun run() {
        controlJob = startControlThread("control", loop, ::handleFailure)
        polls.start()
        log.info("running", "configuration" to tables.fleet.configuration.number)
    }

    override fun drain() {
        log.info("draining")
        loop.post(ShutdownRequested)
        var elapsedMillis = 0L
        while (tables.isLeading && elapsedMillis < LEADERSHIP_TRANSFER_TIMEOUT_MILLIS) {
            TimeUnit.MILLISECONDS.sleep(LEADERSHIP_TRANSFER_POLL_MILLIS)
            elapsedMillis += LEADERSHIP_TRANSFER_POLL_MILLIS
        }
        stop()
        log.info("drained", "leading" to tables.isLeading)
        termination.complete(Unit)
    }

    override fun close() {
        stop()
        termination.complete(Unit)
    }

    private fun stop() {
        polls.close()
        server.stop()
        loop.close()
        val stopped = CompletableFuture<Unit>()
        controlJob?.invokeOnCompletion { stopped.complete(Unit) } ?: stopped.complete(Unit)
        stopped.get(LEADERSHIP_TRANSFER_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
        client.close()
        folder.close()
    }

    private fun handleFailure(cause: Throwable) {
        log.error("the control thread failed", cause)
        termination.completeExceptionally(cause)
    }

    private fun restoreTables(settings: ControlProcessSettings): ControlTables =
        restoreControl(
            settings.replica,
            ControlLogs(folder.consensus.records, folder.ledger.records),
            JsonFleetCodec,
            settings.control,
            ControlStart(clock.now(), settings.seed),
        )

    private fun serverSettings(settings: ControlProcessSettings): ServerSettings {
        val limits = HttpLimits(bodyBytesByPath = mapOf(InternalPaths.PUBLICATIONS to MAXIMUM_PUBLICATION_BYTES))
        return ServerSettings(settings.host, settings.port, limits)
    }
}

@Suppress("TooGenericExceptionCaught") // the server wraps the exception of the socket in no type of its own
private fun start(server: Http4kServer) {
    try {
        server.start()
    } catch (e: RuntimeException) {
        throw e.cause as? IOException ?: e
    }
}
