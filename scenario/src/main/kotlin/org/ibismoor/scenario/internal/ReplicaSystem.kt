/**
 * Runs the control processes of a scenario and carries out their effects on the network and the disks.
 */
package org.ibismoor.scenario.internal

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.plus
import kotlinx.collections.immutable.toPersistentList
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickMachine
import org.ibismoor.core.api.WallTime
import org.ibismoor.fleet.api.AnswerCommand
import org.ibismoor.fleet.api.AnswerLedgerRequests
import org.ibismoor.fleet.api.AnswerPublication
import org.ibismoor.fleet.api.AnswerRouter
import org.ibismoor.fleet.api.CommandReceived
import org.ibismoor.fleet.api.ConsensusReceived
import org.ibismoor.fleet.api.ControlEffect
import org.ibismoor.fleet.api.ControlMessage
import org.ibismoor.fleet.api.ControlTables
import org.ibismoor.fleet.api.DomainSummaryReceived
import org.ibismoor.fleet.api.ForwardCommand
import org.ibismoor.fleet.api.PeerMessageReceived
import org.ibismoor.fleet.api.ReplaceConsensus
import org.ibismoor.fleet.api.ReplaceLedger
import org.ibismoor.fleet.api.ReportInForce
import org.ibismoor.fleet.api.SendConsensus
import org.ibismoor.fleet.api.SendDomainSummary
import org.ibismoor.fleet.api.SendPeerMessage
import org.ibismoor.fleet.api.SyncConsensus
import org.ibismoor.fleet.api.SyncLedger

/** A control process that received no answer to a forwarded command by then treats its outcome as unknown. */
private const val FORWARD_TIMEOUT_MILLIS = 2_000L

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

    private fun perform(world: World, domain: FailureDomainId, effect: ControlEffect): World =
        when (effect) {
            is SyncConsensus -> writeDisk(world, domain) { it.copy(consensusLog = it.consensusLog + effect.records) }
            is ReplaceConsensus ->
                writeDisk(world, domain) { it.copy(consensusLog = effect.records.toPersistentList()) }
            is SyncLedger -> syncLedger(world, domain, effect)
            is ReplaceLedger -> writeDisk(world, domain) { it.copy(ledgerLog = effect.records.toPersistentList()) }
            is SendConsensus ->
                sendToReplica(world, domain, effect.to, ConsensusReceived(replicaIdOf(world, domain), effect.message))
            is SendPeerMessage ->
                sendToReplica(world, domain, effect.to, PeerMessageReceived(replicaIdOf(world, domain), effect.message))
            is SendDomainSummary -> broadcast(world, domain, DomainSummaryReceived(effect.summary))
            is ForwardCommand -> forwardCommand(world, domain, effect)
            is AnswerLedgerRequests -> answerLedger(world, domain, effect)
            is AnswerRouter -> answerRouter(world, domain, effect)
            is AnswerPublication -> answerPublication(world, domain, effect)
            is AnswerCommand -> answerCommand(world, domain, effect.reply, effect.answer)
            is ReportInForce -> world.copy(observations = world.observations.withInForce(effect.number, world.now))
        }

    private fun broadcast(world: World, from: FailureDomainId, message: ControlMessage): World =
        world.replicas.filterKeys { it != from }.toSortedMap().values
            .fold(world) { state, host -> sendToReplica(state, from, host.replica, message) }

    private fun forwardCommand(world: World, domain: FailureDomainId, effect: ForwardCommand): World {
        val reply = world.nextNumber
        return world
            .copy(
                nextNumber = reply + 1,
                pendingExchanges = world.pendingExchanges.put(reply, PendingForward(domain, effect.forward)),
            )
            .schedule(FORWARD_TIMEOUT_MILLIS, ExchangeTimedOut(reply))
            .let { sendToReplica(it, domain, effect.to, CommandReceived(reply, effect.command)) }
    }
}
