/**
 * A control process: one thread decides and writes the log, another carries messages.
 */
package org.ibismoor.gateway.internal.control

import io.netty.channel.EventLoopGroup
import org.ibismoor.coordination.api.AnswerJoin
import org.ibismoor.coordination.api.AnswerPublication
import org.ibismoor.coordination.api.AnswerRead
import org.ibismoor.coordination.api.AnswerReport
import org.ibismoor.coordination.api.ConsensusReceived
import org.ibismoor.coordination.api.CoordinationEffect
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.JoinAnswered
import org.ibismoor.coordination.api.JoinReceived
import org.ibismoor.coordination.api.NotifyConfigurationChange
import org.ibismoor.coordination.api.NotifyLeadershipChange
import org.ibismoor.coordination.api.NotifyRouterListChange
import org.ibismoor.coordination.api.NotifySessionStart
import org.ibismoor.coordination.api.OperatorAnswer
import org.ibismoor.coordination.api.PublicationReceived
import org.ibismoor.coordination.api.PublishedConfiguration
import org.ibismoor.coordination.api.ReadReceived
import org.ibismoor.coordination.api.ReportAnswer
import org.ibismoor.coordination.api.ReportReceived
import org.ibismoor.coordination.api.SeedHostsChanged
import org.ibismoor.coordination.api.SendJoinRequest
import org.ibismoor.coordination.api.SendToReplica
import org.ibismoor.coordination.api.ShutdownRequested
import org.ibismoor.coordination.api.Unconfirmed
import org.ibismoor.coordination.api.UpstreamListReceived
import org.ibismoor.coordination.api.hostOf
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.gateway.api.CoordinatorProcess
import org.ibismoor.gateway.api.CoordinatorSettings
import org.ibismoor.gateway.api.PlatformFormats
import org.ibismoor.gateway.api.SimpleAnswer
import org.ibismoor.gateway.api.SimpleHandler
import org.ibismoor.gateway.api.SimpleRequest
import org.ibismoor.gateway.internal.InternalJson
import org.ibismoor.gateway.internal.InternalPaths
import org.ibismoor.gateway.internal.Replies
import org.ibismoor.gateway.internal.StructuredLog
import org.ibismoor.gateway.internal.net.ClientPool
import org.ibismoor.gateway.internal.net.JsonClient
import org.ibismoor.gateway.internal.net.createTrafficThread
import org.ibismoor.gateway.internal.net.serveSimple
import org.ibismoor.runtime.api.ListenAddress
import org.ibismoor.runtime.api.createClock
import org.ibismoor.storage.api.StorageException
import org.ibismoor.storage.api.createFileStore
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

private const val OPERATOR_TIMEOUT_MILLIS = 2_000L
private const val REPORT_TIMEOUT_MILLIS = 500L
private const val JOIN_TIMEOUT_MILLIS = 300L
private const val HANDOVER_MILLIS = 1_500L
private const val HANDOVER_STEP_MILLIS = 50L
private const val SUCCESS = 200
private const val NOT_FOUND = 404
private const val FAILED = 70

@Suppress("TooManyFunctions") // one function for each call of the process
internal class RunningCoordinator(private val settings: CoordinatorSettings, private val formats: PlatformFormats) :
    CoordinatorProcess {
    private val log = StructuredLog("control")
    private val group: EventLoopGroup = createTrafficThread()
    private val client = JsonClient(group, ClientPool(group))
    private val clock = createClock()
    private val replica = RunningReplica(settings, createFileStore(settings.dataFolder), clock, Listener())
    private val meters = CoordinatorMeters { replica.tables }
    private val links = HashMap<ReplicaId, PeerLink>()
    private val operators = Replies<OperatorAnswer>(OPERATOR_TIMEOUT_MILLIS, Unconfirmed)
    private val reports = Replies(REPORT_TIMEOUT_MILLIS, ReportAnswer(false, null, emptyList()))
    private val joins = Replies(JOIN_TIMEOUT_MILLIS, JoinAnswered(null))
    private val list = UpstreamListReader(client, "${settings.listHost}:${settings.listPort}", formats.upstreams)
    private var isReading = false

    fun start() {
        serveSimple(group, ListenAddress(settings.host, settings.port), ::internal)
        replica.start()
        val interval = settings.listIntervalMillis
        group.scheduleWithFixedDelay(::readList, interval, interval, TimeUnit.MILLISECONDS)
        log.line(
            "started",
            "replica" to replica.id,
            "records" to replica.records,
            "version" to replica.tables.state.configuration?.version,
        )
    }

    override fun publish(configuration: PublishedConfiguration): CompletableFuture<OperatorAnswer> =
        operators.open { replica.post(PublicationReceived(it, configuration)) }
            .whenComplete { answer, _ -> noteOperator("publish", configuration.version, answer) }

    override fun readConfiguration(): CompletableFuture<OperatorAnswer> =
        operators.open { replica.post(ReadReceived(it)) }
            .whenComplete { answer, _ -> noteOperator("read", replica.tables.state.configuration?.version, answer) }

    private fun noteOperator(kind: String, version: Long?, answer: OperatorAnswer) {
        val outcome = answer.javaClass.simpleName.lowercase()
        meters.operatorCall(kind, outcome)
        log.line("operator_$kind", "version" to version, "outcome" to outcome)
    }

    override fun metrics(): String = meters.scrape()

    override fun serve(address: ListenAddress, handler: SimpleHandler) {
        serveSimple(group, address, handler)
    }

    private fun internal(request: SimpleRequest): CompletableFuture<SimpleAnswer> =
        when (request.path) {
            InternalPaths.REPORT ->
                reports.open { replica.post(ReportReceived(it, InternalJson.decodeFromString(request.body))) }
                    .thenApply { SimpleAnswer(SUCCESS, InternalJson.encodeToString(it)) }
            InternalPaths.JOIN ->
                joins.open { replica.post(JoinReceived(it, InternalJson.decodeFromString(request.body))) }
                    .thenApply { SimpleAnswer(SUCCESS, InternalJson.encodeToString(it.leader)) }
            InternalPaths.CONSENSUS -> {
                receive(InternalJson.decodeFromString(request.body))
                CompletableFuture.completedFuture(SimpleAnswer(SUCCESS))
            }
            else -> CompletableFuture.completedFuture(SimpleAnswer(NOT_FOUND))
        }

    /** A message for an earlier replica of this host is not for the one that runs now. */
    private fun receive(batch: PeerBatch) {
        if (batch.to == replica.id) batch.messages.forEach { replica.post(ConsensusReceived(batch.from, it)) }
    }

    private inner class Listener : ReplicaListener {
        override fun perform(tables: CoordinationTables, effect: CoordinationEffect) {
            when (effect) {
                is SendToReplica -> linkTo(effect.to).send(effect.message)
                is SendJoinRequest -> effect.hosts.filter { it != settings.host }.forEach { join(it, effect.replica) }
                is AnswerReport -> reports.complete(effect.reply, effect.answer)
                is AnswerPublication -> operators.complete(effect.reply, effect.answer)
                is AnswerRead -> operators.complete(effect.reply, effect.answer)
                is AnswerJoin -> joins.complete(effect.reply, JoinAnswered(effect.leader))
                else -> note(tables, effect)
            }
        }

        override fun synced(nanos: Long) = meters.synced(nanos)

        override fun storageRefused(cause: StorageException) {
            meters.storageRefused()
            log.line("storage_refused", "problem" to cause.message)
        }

        override fun storageReopened(records: Int) = log.line("storage_reopened", "records" to records)

        override fun failed(cause: Throwable) {
            log.line("failed", "problem" to cause.stackTraceToString().replace('\n', ' '))
            log.close()
            Runtime.getRuntime().halt(FAILED)
        }
    }

    private fun note(tables: CoordinationTables, effect: CoordinationEffect) {
        when (effect) {
            is NotifyLeadershipChange -> {
                log.line("leadership", "leading" to effect.isLeading, "term" to effect.term, "leader" to effect.leader)
                // Routers cannot serve before they know the upstreams, so the list is not left to the next reading.
                if (effect.isLeading) group.execute(::readList)
            }
            is NotifyConfigurationChange ->
                log.line("configuration_committed", "version" to effect.version, "index" to tables.appliedIndex)
            is NotifyRouterListChange ->
                log.line(
                    "router_listed",
                    "router" to effect.router,
                    "listed" to effect.isListed,
                    "cause" to effect.cause,
                )
            is NotifySessionStart ->
                log.line("session_started", "router" to effect.router, "held_before_per_mille" to effect.heldPerMille)
            else -> Unit
        }
    }

    private fun linkTo(other: ReplicaId): PeerLink =
        links.getOrPut(other) { PeerLink(replica.id, other, "${hostOf(other)}:${settings.port}", client) }

    private fun join(host: String, joining: ReplicaId) {
        val body = InternalJson.encodeToString(joining)
        client.call("$host:${settings.port}", "POST", InternalPaths.JOIN, body, JOIN_TIMEOUT_MILLIS)
            .thenAccept { replica.post(JoinAnswered(InternalJson.decodeFromString(it.body))) }
    }

    private fun readList() {
        if (replica.tables.leadingSince == null || isReading) return
        isReading = true
        list.read().whenComplete { upstreams, failure ->
            isReading = false
            if (failure == null) {
                replica.post(UpstreamListReceived(upstreams))
            } else {
                meters.listFailed()
                log.line("upstream_list_failed", "problem" to failure.message)
            }
        }
    }

    override fun updateSeedHosts(hosts: List<String>) {
        log.line("settings_reloaded", "seeds" to hosts.joinToString(","))
        replica.seeds = hosts
        replica.post(SeedHostsChanged(hosts))
    }

    override fun drain() {
        val began = clock.now()
        log.line("stopping", "leading" to (replica.tables.leadingSince != null))
        replica.post(ShutdownRequested)
        while (replica.tables.leadingSince != null && clock.now() - began < HANDOVER_MILLIS) {
            TimeUnit.MILLISECONDS.sleep(HANDOVER_STEP_MILLIS)
        }
        log.line("stopped", "after_ms" to clock.now() - began)
        log.close()
    }
}
