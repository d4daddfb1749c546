/**
 * Runs the consensus machine on messages of other replicas and on the inputs that the other systems queued for it.
 */
package org.ibismoor.coordination.internal

import kotlinx.collections.immutable.persistentListOf
import org.ibismoor.consensus.api.AcknowledgeProposal
import org.ibismoor.consensus.api.CommandContent
import org.ibismoor.consensus.api.ConfirmReadIndex
import org.ibismoor.consensus.api.ConsensusEffect
import org.ibismoor.consensus.api.ConsensusInput
import org.ibismoor.consensus.api.ConsensusTables
import org.ibismoor.consensus.api.DeliverCommittedEntries
import org.ibismoor.consensus.api.LeadershipTransferRequested
import org.ibismoor.consensus.api.MessageReceived
import org.ibismoor.consensus.api.PersistRecords
import org.ibismoor.consensus.api.ProposalRefusal
import org.ibismoor.consensus.api.RefuseProposal
import org.ibismoor.consensus.api.RestoreSnapshot
import org.ibismoor.consensus.api.SendMessage
import org.ibismoor.consensus.api.status
import org.ibismoor.coordination.api.AnswerPublication
import org.ibismoor.coordination.api.CommittedCommand
import org.ibismoor.coordination.api.ConsensusReceived
import org.ibismoor.coordination.api.CoordinationEffect
import org.ibismoor.coordination.api.CoordinationMessage
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.NotifyMembershipChange
import org.ibismoor.coordination.api.PendingExchange
import org.ibismoor.coordination.api.PendingPublication
import org.ibismoor.coordination.api.PublicationTooLarge
import org.ibismoor.coordination.api.SendToReplica
import org.ibismoor.coordination.api.ShutdownRequested
import org.ibismoor.coordination.api.SyncRecords
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickMachine
import org.ibismoor.core.api.foldSteps

internal class ConsensusSystem(
    private val machine: TickMachine<ConsensusTables, ConsensusInput, ConsensusEffect>,
) : CoordinationSystem {
    override fun run(tables: CoordinationTables, tick: Tick<CoordinationMessage>): CoordinationStep {
        val lastContactAt = tick.messages.filterIsInstance<ConsensusReceived>()
            .fold(tables.lastContactAt) { table, message -> table.put(message.from, tick.now) }
        val inputs = tick.messages.mapNotNull(::consensusInput) + tables.consensusInputs
        val step = machine.run(tables.consensus, Tick(tick.now, tick.wallTime, inputs))
        val next = tables.copy(
            consensus = step.tables,
            lastContactAt = lastContactAt,
            consensusInputs = persistentListOf(),
        )
        val applied = foldSteps(next, step.effects, ::applyEffect)
        return CoordinationStep(applied.tables, applied.effects + membershipChange(tables.consensus, step.tables))
    }

    private fun membershipChange(previous: ConsensusTables, current: ConsensusTables): List<CoordinationEffect> {
        val members = current.status().members
        if (members == previous.status().members) return emptyList()
        val (voters, learners) = members.partition { it.isVoter }
        return listOf(NotifyMembershipChange(voters.map { it.replica }, learners.map { it.replica }))
    }

    private fun consensusInput(message: CoordinationMessage): ConsensusInput? =
        when (message) {
            is ConsensusReceived -> MessageReceived(message.from, message.message)
            is ShutdownRequested -> LeadershipTransferRequested
            else -> null
        }

    private fun applyEffect(tables: CoordinationTables, effect: ConsensusEffect): CoordinationStep =
        when (effect) {
            is PersistRecords -> CoordinationStep(tables, listOf(SyncRecords(effect.records)))
            is SendMessage -> CoordinationStep(tables, listOf(SendToReplica(effect.to, effect.message)))
            is DeliverCommittedEntries -> CoordinationStep(tables.withCommitted(effect))
            is RestoreSnapshot -> CoordinationStep(tables.withSnapshot(effect))
            is AcknowledgeProposal -> CoordinationStep(tables.withAppendedProposal(effect))
            is RefuseProposal -> answerRefused(tables, effect)
            is ConfirmReadIndex -> CoordinationStep(tables.withConfirmedRead(effect))
        }
}

/** Term of a committed command that carries a snapshot instead. */
internal const val SNAPSHOT_TERM = -1L

private fun CoordinationTables.withCommitted(effect: DeliverCommittedEntries): CoordinationTables {
    val commands = effect.entries.map { entry ->
        CommittedCommand(entry.index, entry.term, (entry.content as? CommandContent)?.payload.orEmpty())
    }
    return copy(committedCommands = committedCommands.addAll(commands))
}

private fun CoordinationTables.withSnapshot(effect: RestoreSnapshot): CoordinationTables =
    copy(committedCommands = committedCommands.add(CommittedCommand(effect.index, SNAPSHOT_TERM, effect.payload)))

private fun CoordinationTables.withAppendedProposal(effect: AcknowledgeProposal): CoordinationTables {
    val proposal = proposals[effect.proposal] ?: return this
    return copy(proposals = proposals.put(effect.proposal, proposal.copy(index = effect.index, term = effect.term)))
}

private fun CoordinationTables.withConfirmedRead(effect: ConfirmReadIndex): CoordinationTables {
    val read = reads[effect.read] ?: return this
    return copy(reads = reads.put(effect.read, read.copy(index = effect.index)))
}

/** A refusal carries the number of either a proposal or a read. */
private fun answerRefused(tables: CoordinationTables, refusal: RefuseProposal): CoordinationStep {
    val number = refusal.proposal
    val proposal = tables.proposals[number]
    val read = tables.reads[number]
    val next = tables.copy(proposals = tables.proposals.remove(number), reads = tables.reads.remove(number))
    return when {
        proposal != null ->
            CoordinationStep(next, proposal.exchanges.map { refusedAnswer(next, it, refusal.reason) })
        read != null -> CoordinationStep(next, listOf(unconfirmedReadAnswer(read)))
        else -> CoordinationStep(next)
    }
}

private fun refusedAnswer(
    tables: CoordinationTables,
    exchange: PendingExchange,
    reason: ProposalRefusal,
): CoordinationEffect {
    val isTooLarge = exchange is PendingPublication && reason == ProposalRefusal.TOO_LARGE
    return if (isTooLarge) {
        AnswerPublication(exchange.reply, PublicationTooLarge)
    } else {
        unconfirmedAnswer(tables, exchange)
    }
}
