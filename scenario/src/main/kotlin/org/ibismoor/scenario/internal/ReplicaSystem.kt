/**
 * Runs the control processes of a scenario and carries out their effects on the network and the disks.
 */
package org.ibismoor.scenario.internal

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.plus
import kotlinx.collections.immutable.toPersistentList
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickMachine
import org.ibismoor.core.api.WallTime
import org.ibismoor.fleet.api.AnswerCommand
import org.ibismoor.fleet.api.AnswerLedgerRequests
import org.ibismoor.fleet.api.AnswerPublication
import org.ibismoor.fleet.api.AnswerRouter
import org.ibismoor.fleet.api.CommandAnswer
import org.ibismoor.fleet.api.CommandCommitted
import org.ibismoor.fleet.api.CommandReceived
import org.ibismoor.fleet.api.ConsensusReceived
import org.ibismoor.fleet.api.ControlEffect
import org.ibismoor.fleet.api.ControlMessage
import org.ibismoor.fleet.api.ControlTables
import org.ibismoor.fleet.api.DomainSummaryReceived
import org.ibismoor.fleet.api.ForwardAnswered
import org.ibismoor.fleet.api.ForwardCommand
import org.ibismoor.fleet.api.NotLeader
import org.ibismoor.fleet.api.PeerMessageReceived
import org.ibismoor.fleet.api.ReplaceConsensus
import org.ibismoor.fleet.api.ReplaceLedger
import org.ibismoor.fleet.api.ReportInForce
import org.ibismoor.fleet.api.SendConsensus
import org.ibismoor.fleet.api.SendDomainSummary
import org.ibismoor.fleet.api.SendPeerMessage
import org.ibismoor.fleet.api.SyncConsensus
import org.ibismoor.fleet.api.SyncLedger
import org.ibismoor.ledger.api.ChargeRecord
import org.ibismoor.ledger.api.DomainRecord
import org.ibismoor.routing.api.ControlContactReceived
import org.ibismoor.routing.api.LedgerAnswered
import org.ibismoor.routing.api.LedgerAuthority
import org.ibismoor.scenario.api.Defect
import org.ibismoor.scenario.api.ProcessAction
import org.ibismoor.scenario.api.TraceKind

/** A control process that received no answer to a forwarded command by then treats its outcome as unknown. */
private const val FORWARD_TIMEOUT_MILLIS = 2_000L

private const val PUBLICATION_RETRY_DELAY_MILLIS = 500L

@Suppress("TooManyFunctions") // one short function for each event, effect or check
internal class ReplicaSystem(private val machine: TickMachine<ControlTables, ControlMessage, ControlEffect>) {
    fun run(world: World): World = world.replicas.keys.sorted().fold(world, ::runHost)

    /** The earliest time by which one of the running control processes must run. */
    fun nextDue(world: World) =
        world.replicas.values.filter { !it.isFrozen && it.tables != null }.mapNotNull { it.nextRunAt }.minOrNull()

    private fun runHost(world: World, domain: FailureDomainId): World {
        val host = world.replicas.getValue(domain)
        return if (isDue(world, host)) step(world, host) else world
    }

    private fun isDue(world: World, host: ReplicaHost): Boolean {
        val hasWork = host.inbox.isNotEmpty() || host.nextRunAt?.let { it <= world.now } ?: false
        return hasWork && !host.isFrozen && host.tables != null
    }

    private fun step(world: World, host: ReplicaHost): World {
        val tables = checkNotNull(host.tables)
        val domain = host.replica.domain
        val step = machine.run(tables, Tick(host.clock.localTime(world.now), WallTime(world.now.millis), host.inbox))
        val nextRunAt = machine.nextDue(step.tables)?.let(host.clock::scenarioTime)
        val next = host.copy(tables = step.tables, inbox = persistentListOf(), nextRunAt = nextRunAt)
        val updated = world.copy(replicas = world.replicas.put(domain, next))
        return step.effects.fold(updated) { state, effect -> performIfRunning(state, domain, effect) }
    }

    /** A process that died during a write performs none of the effects after it. */
    private fun performIfRunning(world: World, domain: FailureDomainId, effect: ControlEffect): World {
        val host = world.replicas.getValue(domain)
        return when {
            host.tables == null -> world
            host.diskFault != null && effect.isWrite -> failWrite(world, host, effect)
            else -> perform(world, domain, effect)
        }
    }

    /** A log is replaced by renaming a file, so a fault during that write leaves the old log intact. */
    private fun failWrite(world: World, host: ReplicaHost, effect: ControlEffect): World {
        val isTorn = host.diskFault == ProcessAction.TEAR_WRITE
        val dead = host.copy(tables = null, inbox = persistentListOf(), diskFault = null)
        val next = when {
            isTorn && effect is SyncConsensus -> dead.copy(consensusLog = dead.consensusLog + firstHalf(effect.records))
            isTorn && effect is SyncLedger -> dead.copy(ledgerLog = dead.ledgerLog + firstHalf(effect.records))
            else -> dead
        }
        return world.copy(replicas = world.replicas.put(host.replica.domain, next))
    }

    private fun <T> firstHalf(records: List<T>): List<T> = records.take(records.size / 2)

    private val ControlEffect.isWrite: Boolean
        get() = this is SyncConsensus || this is SyncLedger || this is ReplaceConsensus || this is ReplaceLedger

    private fun perform(world: World, domain: FailureDomainId, effect: ControlEffect): World =
        when (effect) {
            is SyncConsensus -> writeDisk(world, domain) { it.copy(consensusLog = it.consensusLog + effect.records) }
            is ReplaceConsensus ->
                writeDisk(world, domain) { it.copy(consensusLog = effect.records.toPersistentList()) }
            is SyncLedger -> syncLedger(world, domain, effect)
            is ReplaceLedger -> writeDisk(world, domain) { it.copy(ledgerLog = effect.records.toPersistentList()) }
            is SendConsensus ->
                send(world, domain, effect.to, ConsensusReceived(replicaId(world, domain), effect.message))
            is SendPeerMessage ->
                send(world, domain, effect.to, PeerMessageReceived(replicaId(world, domain), effect.message))
            is SendDomainSummary -> broadcast(world, domain, DomainSummaryReceived(effect.summary))
            is ForwardCommand -> forwardCommand(world, domain, effect)
            is AnswerLedgerRequests -> answerLedger(world, domain, effect)
            is AnswerRouter -> answerRouter(world, domain, effect)
            is AnswerPublication -> answerPublication(world, domain, effect)
            is AnswerCommand -> answerCommand(world, domain, effect.reply, effect.answer)
            is ReportInForce -> world.copy(observations = world.observations.withInForce(effect.number, world.now))
        }

    private fun syncLedger(world: World, domain: FailureDomainId, effect: SyncLedger): World =
        writeDisk(traceCharges(world, domain, effect), domain) {
            it.copy(ledgerLog = it.ledgerLog + recordsToSync(world, effect))
        }

    private fun recordsToSync(world: World, effect: SyncLedger): List<DomainRecord> =
        when (Defect.UNSYNCED_CHARGES) {
            in world.defects -> effect.records.filterNot { it is ChargeRecord }
            else -> effect.records
        }

    private fun traceCharges(world: World, domain: FailureDomainId, effect: SyncLedger): World =
        effect.records.filterIsInstance<ChargeRecord>().fold(world) { state, record ->
            state.withTraceLine(TraceKind.DECISION, "$domain charges ${record.charge}")
        }

    private fun writeDisk(world: World, domain: FailureDomainId, write: (ReplicaHost) -> ReplicaHost): World =
        world.copy(replicas = world.replicas.put(domain, write(world.replicas.getValue(domain))))

    private fun endpoint(world: World, domain: FailureDomainId): Endpoint = world.replicas.getValue(domain).endpoint

    private fun replicaId(world: World, domain: FailureDomainId): ReplicaId = world.replicas.getValue(domain).replica

    private fun send(world: World, from: FailureDomainId, to: ReplicaId, message: ControlMessage): World =
        world.send(endpoint(world, from), endpoint(world, to.domain), ReplicaMessageDue(to, message))

    private fun broadcast(world: World, from: FailureDomainId, message: ControlMessage): World =
        world.replicas.filterKeys { it != from }.toSortedMap().values
            .fold(world) { state, host -> send(state, from, host.replica, message) }

    private fun forwardCommand(world: World, domain: FailureDomainId, effect: ForwardCommand): World {
        val reply = world.nextNumber
        return world
            .copy(
                nextNumber = reply + 1,
                pendingExchanges = world.pendingExchanges.put(reply, PendingForward(domain, effect.forward)),
            )
            .schedule(FORWARD_TIMEOUT_MILLIS, ExchangeTimedOut(reply))
            .let { send(it, domain, effect.to, CommandReceived(reply, effect.command)) }
    }

    private fun answerCommand(world: World, domain: FailureDomainId, reply: Long, answer: CommandAnswer): World {
        val row = world.pendingExchanges[reply] as? PendingForward ?: return world
        val target = world.replicas.getValue(row.domain).replica
        return send(world, domain, target, ForwardAnswered(row.forward, answer))
    }

    private fun answerLedger(world: World, domain: FailureDomainId, effect: AnswerLedgerRequests): World {
        val row = world.pendingExchanges[effect.reply] as? PendingLedgerRequest ?: return world
        val isPartitioned = world.isPartitioned(endpoint(world, domain), world.routers.getValue(row.router).endpoint)
        return if (isPartitioned) world else sendLedgerAnswers(world, domain, effect, row)
    }

    private fun sendLedgerAnswers(
        world: World,
        domain: FailureDomainId,
        effect: AnswerLedgerRequests,
        row: PendingLedgerRequest,
    ): World {
        val messages = effect.answers.map(::LedgerAnswered) + ControlContactReceived(LedgerAuthority(domain))
        val answered = world.copy(pendingExchanges = world.pendingExchanges.remove(effect.reply))
        return messages.fold(answered) { state, message ->
            state.schedule(world.network.delayMillis, RouterMessageDue(row.router, row.session, message))
        }
    }

    private fun answerRouter(world: World, domain: FailureDomainId, effect: AnswerRouter): World {
        val row = world.pendingExchanges[effect.reply] as? PendingHeartbeat ?: return world
        val router = world.routers.getValue(row.router).endpoint
        return world.copy(pendingExchanges = world.pendingExchanges.remove(effect.reply))
            .send(endpoint(world, domain), router, HeartbeatAnswered(row.router, row.session, domain, effect.answer))
    }

    /** An operator retries at the leader that the answer names, or at the same control process if it names none. */
    private fun answerPublication(world: World, domain: FailureDomainId, effect: AnswerPublication): World {
        val row = world.pendingExchanges[effect.reply] as? PendingPublication ?: return world
        val publication = world.publications.getValue(row.publication)
        val answer = effect.answer
        return when (answer) {
            is CommandCommitted -> {
                val answeredPublication = publication.copy(isAnswered = true)
                world.withTraceLine(TraceKind.OUTCOME, "publication ${publication.digest}: ${answer.result}").copy(
                    publications = world.publications.put(row.publication, answeredPublication),
                    observations = world.observations.withPublication(publication, answer.result, world.now),
                )
            }
            is NotLeader -> {
                val next = answer.leader?.domain ?: domain
                val attempt = PublicationAttemptDue(row.publication, next, effect.reply)
                world.schedule(PUBLICATION_RETRY_DELAY_MILLIS, attempt)
            }
            else -> world
        }
    }
}
