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
import org.ibismoor.fleet.api.AnswerLedger
import org.ibismoor.fleet.api.AnswerPublication
import org.ibismoor.fleet.api.AnswerRouter
import org.ibismoor.fleet.api.CommandAnswer
import org.ibismoor.fleet.api.CommandCommitted
import org.ibismoor.fleet.api.CommandReceived
import org.ibismoor.fleet.api.ConsensusReceived
import org.ibismoor.fleet.api.ControlEffect
import org.ibismoor.fleet.api.ControlMessage
import org.ibismoor.fleet.api.ControlTables
import org.ibismoor.fleet.api.DomainSummarised
import org.ibismoor.fleet.api.ForwardAnswered
import org.ibismoor.fleet.api.ForwardCommand
import org.ibismoor.fleet.api.NotLeader
import org.ibismoor.fleet.api.PeerReceived
import org.ibismoor.fleet.api.ReplaceConsensus
import org.ibismoor.fleet.api.ReplaceLedger
import org.ibismoor.fleet.api.ReportInForce
import org.ibismoor.fleet.api.SendConsensus
import org.ibismoor.fleet.api.SendDomainSummary
import org.ibismoor.fleet.api.SendPeer
import org.ibismoor.fleet.api.SyncConsensus
import org.ibismoor.fleet.api.SyncLedger
import org.ibismoor.routing.api.ControlHeard
import org.ibismoor.routing.api.LedgerAnswered
import org.ibismoor.routing.api.LedgerAuthority

/** A process that got no answer to a forwarded command by then goes on without it. */
private const val FORWARD_TIMEOUT_MILLIS = 2_000L

private const val PUBLICATION_RETRY_MILLIS = 500L

internal class ReplicaSystem(private val machine: TickMachine<ControlTables, ControlMessage, ControlEffect>) {
    fun run(world: World): World = world.replicas.keys.sorted().fold(world, ::runHost)

    /** Time of the earliest due work of all control processes. */
    fun nextDue(world: World) =
        world.replicas.values.filter { !it.isFrozen }.mapNotNull { host -> host.tables?.let(machine::nextDue) }
            .minOrNull()

    private fun runHost(world: World, domain: FailureDomainId): World {
        val host = world.replicas.getValue(domain)
        val tables = host.tables ?: return world
        val isDue = machine.nextDue(tables)?.let { it <= world.now } ?: false
        if (host.isFrozen || host.waiting.isEmpty() && !isDue) return world
        val step = machine.run(tables, Tick(world.now, WallTime(world.now.millis), host.waiting))
        val next = host.copy(tables = step.tables, waiting = persistentListOf())
        val moved = world.copy(replicas = world.replicas.put(domain, next))
        return step.effects.fold(moved) { state, effect -> perform(state, domain, effect) }
    }

    private fun perform(world: World, domain: FailureDomainId, effect: ControlEffect): World =
        when (effect) {
            is SyncConsensus -> disk(world, domain) { it.copy(consensusLog = it.consensusLog + effect.records) }
            is ReplaceConsensus -> disk(world, domain) { it.copy(consensusLog = effect.records.toPersistentList()) }
            is SyncLedger -> disk(world, domain) { it.copy(ledgerLog = it.ledgerLog + effect.records) }
            is ReplaceLedger -> disk(world, domain) { it.copy(ledgerLog = effect.records.toPersistentList()) }
            is SendConsensus -> send(world, domain, effect.to, ConsensusReceived(self(world, domain), effect.message))
            is SendPeer -> send(world, domain, effect.to, PeerReceived(self(world, domain), effect.message))
            is SendDomainSummary -> broadcast(world, domain, DomainSummarised(effect.summary))
            is ForwardCommand -> forward(world, domain, effect)
            is AnswerLedger -> answerLedger(world, domain, effect)
            is AnswerRouter -> answerRouter(world, domain, effect)
            is AnswerPublication -> answerPublication(world, domain, effect)
            is AnswerCommand -> answerCommand(world, domain, effect.reply, effect.answer)
            is ReportInForce -> world.copy(observed = world.observed.inForce(effect.number, world.now))
        }

    private fun disk(world: World, domain: FailureDomainId, write: (ReplicaHost) -> ReplicaHost): World =
        world.copy(replicas = world.replicas.put(domain, write(world.replicas.getValue(domain))))

    private fun self(world: World, domain: FailureDomainId): ReplicaId = world.replicas.getValue(domain).replica

    private fun send(world: World, from: FailureDomainId, to: ReplicaId, message: ControlMessage): World =
        world.send(from, to.domain, ToReplica(to, message))

    private fun broadcast(world: World, from: FailureDomainId, message: ControlMessage): World =
        world.replicas.filterKeys { it != from }.toSortedMap().values
            .fold(world) { state, host -> send(state, from, host.replica, message) }

    private fun forward(world: World, domain: FailureDomainId, effect: ForwardCommand): World {
        val reply = world.nextNumber
        return world
            .copy(
                nextNumber = reply + 1,
                replies = world.replies.put(reply, ForwardReply(domain, effect.forward)),
            )
            .after(FORWARD_TIMEOUT_MILLIS, ReplyTimedOut(reply))
            .send(domain, effect.to.domain, ToReplica(effect.to, CommandReceived(reply, effect.command)))
    }

    private fun answerCommand(world: World, domain: FailureDomainId, reply: Long, answer: CommandAnswer): World {
        val row = world.replies[reply] as? ForwardReply ?: return world
        val target = world.replicas.getValue(row.domain).replica
        return world.send(domain, row.domain, ToReplica(target, ForwardAnswered(row.forward, answer)))
    }

    private fun answerLedger(world: World, domain: FailureDomainId, effect: AnswerLedger): World {
        val row = world.replies[effect.reply] as? LedgerReply ?: return world
        if (world.isCut(domain, row.domain)) return world
        val messages = effect.answers.map(::LedgerAnswered) + ControlHeard(LedgerAuthority(domain))
        return messages.fold(world.copy(replies = world.replies.remove(effect.reply))) { state, message ->
            state.after(world.network.delayMillis, ToRouter(row.router, row.session, message))
        }
    }

    private fun answerRouter(world: World, domain: FailureDomainId, effect: AnswerRouter): World {
        val row = world.replies[effect.reply] as? BeatReply ?: return world
        return world.copy(replies = world.replies.remove(effect.reply))
            .send(domain, row.domain, BeatAnswered(row.router, row.session, effect.answer))
    }

    /** An operator goes to the leader that an answer names, and otherwise tries again after a while. */
    private fun answerPublication(world: World, domain: FailureDomainId, effect: AnswerPublication): World {
        val row = world.replies[effect.reply] as? PublicationReply ?: return world
        val publication = world.publications.getValue(row.publication)
        val answer = effect.answer
        return when (answer) {
            is CommandCommitted -> {
                val answered = publication.copy(isAnswered = true)
                world.copy(
                    publications = world.publications.put(row.publication, answered),
                    observed = world.observed.published(publication.configuration.number, answer.result, world.now),
                )
            }
            is NotLeader -> {
                val next = answer.leader?.domain ?: domain
                world.after(PUBLICATION_RETRY_MILLIS, PublicationTried(row.publication, next))
            }
            else -> world
        }
    }
}
