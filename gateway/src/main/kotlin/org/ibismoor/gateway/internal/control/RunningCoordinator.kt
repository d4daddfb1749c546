/**
 * A control process with two threads: the control thread makes decisions and writes the log, the traffic thread does
 * all network I/O.
 */
package org.ibismoor.gateway.internal.control

import io.netty.channel.EventLoopGroup
import org.ibismoor.coordination.api.AnswerEvacuation
import org.ibismoor.coordination.api.AnswerJoin
import org.ibismoor.coordination.api.AnswerPublication
import org.ibismoor.coordination.api.AnswerRead
import org.ibismoor.coordination.api.AnswerReport
import org.ibismoor.coordination.api.ConsensusReceived
import org.ibismoor.coordination.api.CoordinationEffect
import org.ibismoor.coordination.api.CoordinationMessage
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.EvacuationRequested
import org.ibismoor.coordination.api.JoinAnswered
import org.ibismoor.coordination.api.JoinReceived
import org.ibismoor.coordination.api.LeaderQueried
import org.ibismoor.coordination.api.NotifyConfigurationChange
import org.ibismoor.coordination.api.NotifyEvacuationChange
import org.ibismoor.coordination.api.NotifyLeadershipChange
import org.ibismoor.coordination.api.NotifyMembershipChange
import org.ibismoor.coordination.api.NotifyPromptPart
import org.ibismoor.coordination.api.NotifyRequestQuarantine
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
import org.ibismoor.coordination.api.SendLeaderAnnouncement
import org.ibismoor.coordination.api.SendLeaderQuery
import org.ibismoor.coordination.api.SendToReplica
import org.ibismoor.coordination.api.ShutdownRequested
import org.ibismoor.coordination.api.Unconfirmed
import org.ibismoor.coordination.api.UpstreamListReceived
import org.ibismoor.coordination.api.hostOf
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.gateway.api.CoordinatorProcess
import org.ibismoor.gateway.api.CoordinatorSettings
import org.ibismoor.gateway.api.PlatformFormats
import org.ibismoor.gateway.api.SimpleAnswer
import org.ibismoor.gateway.api.SimpleHandler
import org.ibismoor.gateway.api.SimpleRequest
import org.ibismoor.gateway.internal.InternalJson
import org.ibismoor.gateway.internal.InternalPaths
import org.ibismoor.gateway.internal.PendingReplies
import org.ibismoor.gateway.internal.StructuredLog
import org.ibismoor.gateway.internal.net.ClientPool
import org.ibismoor.gateway.internal.net.JsonClient
import org.ibismoor.gateway.internal.net.createProcessMemory
import org.ibismoor.gateway.internal.net.createTrafficThread
import org.ibismoor.gateway.internal.net.serveSimple
import org.ibismoor.runtime.api.ListenAddress
import org.ibismoor.runtime.api.createClock
import org.ibismoor.storage.api.StorageException
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit

private const val OPERATOR_TIMEOUT_MILLIS = 2_000L
private const val REPORT_TIMEOUT_MILLIS = 500L
private const val JOIN_TIMEOUT_MILLIS = 300L
private const val HANDOVER_TIMEOUT_MILLIS = 1_500L
private const val HANDOVER_POLL_MILLIS = 50L
private const val STATUS_OK = 200
private const val STATUS_NOT_FOUND = 404
private const val FAILURE_EXIT_CODE = 70

@Suppress("TooManyFunctions") // one function for each call of the process
internal class RunningCoordinator(private val settings: CoordinatorSettings, private val formats: PlatformFormats) :
    CoordinatorProcess {
    private val log = StructuredLog("control")
    private val group: EventLoopGroup = createTrafficThread()
    private val client = JsonClient(group, ClientPool(group, settings.clientHost))
    private val clock = createClock()
    private val replica = RunningReplica(settings, replicaStore(settings), clock, Listener())
    private val memory = createProcessMemory()
    private val meters = CoordinatorMeters { replica.tables }.also { it.registerMemory(memory) }
    private val links = HashMap<ReplicaId, PeerLink>()
    private val operatorReplies = PendingReplies<OperatorAnswer>(OPERATOR_TIMEOUT_MILLIS, Unconfirmed)
    private val reportReplies = PendingReplies(REPORT_TIMEOUT_MILLIS, ReportAnswer(false, null, emptyList()))
    private val joinReplies = PendingReplies(JOIN_TIMEOUT_MILLIS, JoinAnswered(null))
    private val upstreamList =
        UpstreamListReader(client, "${settings.listHost}:${settings.listPort}", formats.upstreams)
    private val documents = ConfigurationDocuments { replica.tables.state.configuration }
    private var isReadingList = false

    fun start() {
        serveSimple(group, ListenAddress(settings.bindHost, settings.port), memory, ::handleInternalRequest)
        replica.start()
        val interval = settings.listIntervalMillis
        group.scheduleWithFixedDelay(::readUpstreamList, interval, interval, TimeUnit.MILLISECONDS)
        log.write(
            "started",
            "replica" to replica.id,
            "observer" to settings.isObserver,
            "tolerated_losses" to settings.coordination.toleratedLosses,
            "records" to replica.records,
            "version" to replica.tables.state.configuration?.version,
        )
    }

    override fun publish(configuration: PublishedConfiguration): CompletableFuture<OperatorAnswer> =
        operatorReplies.openExchange { replica.post(PublicationReceived(it, configuration)) }
            .whenComplete { answer, _ -> recordOperatorCall("publish", configuration.version, answer) }

    override fun readConfiguration(): CompletableFuture<OperatorAnswer> =
        operatorReplies.openExchange { replica.post(ReadReceived(it)) }
            .whenComplete { answer, _ ->
                recordOperatorCall("read", replica.tables.state.configuration?.version, answer)
            }

    private fun recordOperatorCall(kind: String, version: Long?, answer: OperatorAnswer) {
        val outcome = answer.javaClass.simpleName.lowercase()
        meters.countOperatorCall(kind, outcome)
        log.write("operator_$kind", "version" to version, "outcome" to outcome)
    }

    override fun orderEvacuation(domain: FailureDomainId, isEvacuated: Boolean): CompletableFuture<OperatorAnswer> {
        val kind = if (isEvacuated) "evacuation_start" else "evacuation_end"
        return operatorReplies.openExchange { replica.post(EvacuationRequested(it, domain, isEvacuated)) }
            .whenComplete { answer, _ ->
                val outcome = answer.javaClass.simpleName.lowercase()
                meters.countOperatorCall(kind, outcome)
                log.write("operator_$kind", "domain" to domain, "outcome" to outcome)
            }
    }

    override fun metrics(): String = meters.scrape()

    override fun serve(address: ListenAddress, handler: SimpleHandler) {
        serveSimple(group, address, memory, handler)
    }

    private fun handleInternalRequest(request: SimpleRequest): CompletableFuture<SimpleAnswer> =
        when (request.path) {
            InternalPaths.REPORT ->
                reportReplies.openExchange {
                    replica.post(ReportReceived(it, InternalJson.decodeFromString(request.body)))
                }.thenApply(::encodeReportAnswer)
            InternalPaths.CONFIGURATION -> CompletableFuture.completedFuture(answerDocument(request))
            InternalPaths.JOIN ->
                answerWithLeader { JoinReceived(it, InternalJson.decodeFromString(request.body)) }
            InternalPaths.LEADER -> answerWithLeader(::LeaderQueried)
            InternalPaths.ANNOUNCEMENT -> {
                replica.post(JoinAnswered(InternalJson.decodeFromString(request.body)))
                CompletableFuture.completedFuture(SimpleAnswer(STATUS_OK))
            }
            InternalPaths.CONSENSUS -> {
                postConsensusMessages(InternalJson.decodeFromString(request.body))
                CompletableFuture.completedFuture(SimpleAnswer(STATUS_OK))
            }
            else -> CompletableFuture.completedFuture(SimpleAnswer(STATUS_NOT_FOUND))
        }

    private fun answerWithLeader(message: (Long) -> CoordinationMessage): CompletableFuture<SimpleAnswer> =
        joinReplies.openExchange { replica.post(message(it)) }
            .thenApply { SimpleAnswer(STATUS_OK, InternalJson.encodeToString(namedLeader(it))) }

    private fun answerDocument(request: SimpleRequest): SimpleAnswer =
        documents.answer(request).also { answer ->
            answer.compressedBody?.let { meters.countConfigurationSent(it.bytes.size) }
        }

    private fun encodeReportAnswer(answer: ReportAnswer): SimpleAnswer {
        val body = InternalJson.encodeToString(answer)
        if (answer.configuration != null) meters.countConfigurationSent(body.length)
        return SimpleAnswer(STATUS_OK, body)
    }

    /** Ignores messages to an earlier replica of this host, which had another epoch. */
    private fun postConsensusMessages(batch: PeerBatch) {
        if (batch.to == replica.id) batch.messages.forEach { replica.post(ConsensusReceived(batch.from, it)) }
    }

    private inner class Listener : ReplicaListener {
        override fun perform(tables: CoordinationTables, effect: CoordinationEffect) {
            when (effect) {
                is SendToReplica -> linkTo(effect.to).send(effect.message)
                is SendJoinRequest ->
                    askForLeader(effect.hosts, InternalPaths.JOIN, InternalJson.encodeToString(effect.replica))
                is SendLeaderQuery -> askForLeader(effect.hosts, InternalPaths.LEADER, null)
                is SendLeaderAnnouncement -> announceLeader(effect)
                is AnswerReport -> reportReplies.complete(effect.reply, effect.answer)
                is AnswerPublication -> operatorReplies.complete(effect.reply, effect.answer)
                is AnswerRead -> operatorReplies.complete(effect.reply, effect.answer)
                is AnswerEvacuation -> operatorReplies.complete(effect.reply, effect.answer)
                is AnswerJoin -> joinReplies.complete(effect.reply, JoinAnswered(effect.leader, effect.ageMillis))
                else -> handleNotification(tables, effect)
            }
        }

        override fun onLogSynced(nanos: Long) = meters.recordSync(nanos)

        override fun onStorageRefused(cause: StorageException) {
            meters.countStorageRefusal()
            log.write("storage_refused", "problem" to cause.message)
        }

        override fun onStorageReopened(records: Int) = log.write("storage_reopened", "records" to records)

        override fun onFailure(cause: Throwable) {
            log.write("failed", "problem" to cause.stackTraceToString().replace('\n', ' '))
            log.close()
            Runtime.getRuntime().halt(FAILURE_EXIT_CODE)
        }
    }

    private fun handleNotification(tables: CoordinationTables, effect: CoordinationEffect) {
        when (effect) {
            is NotifyLeadershipChange -> {
                log.write("leadership", "leading" to effect.isLeading, "term" to effect.term, "leader" to effect.leader)
                // Routers cannot serve before they have the upstreams, so the list is read at once.
                if (effect.isLeading) group.execute(::readUpstreamList)
            }
            is NotifyMembershipChange ->
                log.write(
                    "membership",
                    "voters" to effect.voters.joinToString(","),
                    "learners" to effect.learners.joinToString(","),
                    "wanted_voters" to settings.coordination.wantedVoters,
                )
            is NotifyConfigurationChange ->
                log.write("configuration_committed", "version" to effect.version, "index" to tables.appliedIndex)
            is NotifyEvacuationChange ->
                log.write(
                    "evacuations_committed",
                    "domains" to effect.evacuations.domains.joinToString(","),
                    "index" to effect.evacuations.index,
                )
            is NotifyRouterListChange ->
                log.write(
                    "router_listed",
                    "router" to effect.router,
                    "listed" to effect.isListed,
                    "cause" to effect.cause,
                )
            is NotifySessionStart ->
                log.write(
                    "session_started",
                    "router" to effect.router,
                    "held_before_per_mille" to effect.heldPerMille,
                    "stranded_per_mille" to effect.strandedPerMille,
                    "unspent_per_mille" to effect.unspentPerMille,
                )
            is NotifyPromptPart ->
                log.write(
                    "part_" + effect.belief.name.lowercase(),
                    "prompt_part" to effect.part,
                    "moments" to effect.moments,
                    "failed_probes" to effect.failedProbes,
                )
            is NotifyRequestQuarantine ->
                log.write(
                    "request_" + effect.belief.name.lowercase(),
                    "request" to effect.digest,
                    "crashes" to effect.crashes,
                )
            else -> Unit
        }
    }

    private fun linkTo(other: ReplicaId): PeerLink =
        links.getOrPut(other) { PeerLink(replica.id, other, "${hostOf(other)}:${settings.port}", client) }

    private fun askForLeader(hosts: List<String>, path: String, body: String?) =
        hosts.filter { it != settings.host }.forEach { host ->
            val startedAt = clock.now()
            client.call("$host:${settings.port}", if (body == null) "GET" else "POST", path, body, JOIN_TIMEOUT_MILLIS)
                .thenAccept { answer ->
                    val leader = InternalJson.decodeFromString<NamedLeader?>(answer.body)
                    replica.post(leader.toMessage(clock.now() - startedAt))
                }
        }

    private fun announceLeader(effect: SendLeaderAnnouncement) {
        val body = InternalJson.encodeToString(effect.leader)
        effect.hosts.forEach { host ->
            client.call("$host:${settings.port}", "POST", InternalPaths.ANNOUNCEMENT, body, JOIN_TIMEOUT_MILLIS)
        }
    }

    private fun readUpstreamList() {
        if (replica.tables.leadingSince == null || isReadingList) return
        isReadingList = true
        upstreamList.read().whenComplete { upstreams, failure ->
            isReadingList = false
            if (failure == null) {
                replica.post(UpstreamListReceived(upstreams))
            } else {
                meters.countListFailure()
                log.write("upstream_list_failed", "problem" to failure.message)
            }
        }
    }

    override fun updateSeedHosts(hosts: List<String>) {
        log.write("settings_reloaded", "seeds" to hosts.joinToString(","))
        replica.seedHosts = hosts
        replica.post(SeedHostsChanged(hosts))
    }

    override fun drain() {
        val startedAt = clock.now()
        log.write("stopping", "leading" to (replica.tables.leadingSince != null))
        replica.post(ShutdownRequested)
        while (replica.tables.leadingSince != null && clock.now() - startedAt < HANDOVER_TIMEOUT_MILLIS) {
            TimeUnit.MILLISECONDS.sleep(HANDOVER_POLL_MILLIS)
        }
        log.write("stopped", "after_ms" to clock.now() - startedAt)
        log.close()
    }
}
