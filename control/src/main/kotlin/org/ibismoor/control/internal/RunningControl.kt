/**
 * A control process: one thread runs the machine of the replica, others serve HTTP, send messages and poll.
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
private const val HANDOVER_MILLIS = 2_000L
private const val HANDOVER_STEP_MILLIS = 50L

internal class RunningControl(
    settings: ControlProcessSettings,
    private val folder: DataFolder,
    identity: FolderIdentity,
    private val client: InternalClient,
) : ControlProcess, ControlPort {
    private val known = AtomicReference(identity)
    private val clock = createClock()
    private val metrics: PrometheusMeterRegistry = createMetrics("control")
    private val meters = ControlMeters(metrics)
    private val replies = ReplyBoard()
    private val addresses = PeerAddresses(settings.peers)
    private val log = createLog("control")
    private val outbound = Outbound(client, replies, addresses, meters, this)
    private val loop: ControlLoop<ControlTables, ControlMessage, ControlEffect> =
        ControlLoop(
            createControl(JsonFleetCodec, settings.control),
            restored(settings),
            clock,
            ControlEffects(folder, outbound, meters.syncTimer),
        )
    private val polls = UpstreamPolls(client, this, settings.platformUrl, meters)
    private val served =
        LedgerRoutes(this, replies, meters).all +
            PeerRoutes(settings.replica, this, replies).all +
            OperatorRoutes(this, replies, addresses, meters).all
    private val handler: HttpHandler = controlRoutes(this, known::get, served, metrics)
    private val server: Http4kServer = createServer(serverSettings(settings)) { request, _ -> handler(request) }

    /** Set once when the control thread starts. */
    @Volatile
    private var job: Job? = null

    override val ended = CompletableFuture<Unit>()
    override val tables: ControlTables get() = loop.tables
    override val port: Int get() = server.port()
    val isRunning: Boolean get() = job != null

    override fun post(message: ControlMessage) = loop.post(message)

    /** Starts to listen. Messages are refused until [run]. Throws `IOException` if the address cannot be used. */
    fun listen() {
        folder.tornTails.forEach {
            log.warn("cut a torn tail", "file" to it.file, "offset" to it.offset, "bytes" to it.bytes)
        }
        meters.observe(this, folder, replies)
        start(server)
        log.info("listening", "replica" to tables.replica, "port" to server.port())
    }

    /** Keeps which folders the other founders have, and tells them from now on. */
    fun remember(records: List<FolderRecord>) {
        folder.identity.append(records)
        known.updateAndGet { it.with(records) }
    }

    fun run() {
        job = startControlThread("control", loop, ::failed)
        polls.start()
        log.info("running", "configuration" to tables.fleet.configuration.number)
    }

    override fun drain() {
        log.info("draining")
        loop.post(ShutdownRequested)
        var waited = 0L
        while (tables.isLeading && waited < HANDOVER_MILLIS) {
            TimeUnit.MILLISECONDS.sleep(HANDOVER_STEP_MILLIS)
            waited += HANDOVER_STEP_MILLIS
        }
        stop()
        log.info("drained", "leading" to tables.isLeading)
        ended.complete(Unit)
    }

    override fun close() {
        stop()
        ended.complete(Unit)
    }

    private fun stop() {
        polls.close()
        server.stop()
        loop.close()
        val stopped = CompletableFuture<Unit>()
        job?.invokeOnCompletion { stopped.complete(Unit) } ?: stopped.complete(Unit)
        stopped.get(HANDOVER_MILLIS, TimeUnit.MILLISECONDS)
        client.close()
        folder.close()
    }

    private fun failed(cause: Throwable) {
        log.error("the control thread failed", cause)
        ended.completeExceptionally(cause)
    }

    private fun restored(settings: ControlProcessSettings): ControlTables =
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
