/**
 * Takes proposals and reads, or refuses them with the reason.
 */
package org.ibismoor.consensus.internal

import org.ibismoor.consensus.api.AcknowledgeProposal
import org.ibismoor.consensus.api.CommandContent
import org.ibismoor.consensus.api.ConsensusSettings
import org.ibismoor.consensus.api.ConsensusTables
import org.ibismoor.consensus.api.ProposalReceived
import org.ibismoor.consensus.api.ProposalRefusal
import org.ibismoor.consensus.api.ReadIndexRequested
import org.ibismoor.consensus.api.RefuseProposal
import org.ibismoor.core.api.Step

internal class LeaderRequests {
    fun append(tables: ConsensusTables, propose: ProposalReceived): ConsensusStep {
        val leadership = tables.leadership
        val refusal = when {
            leadership == null || leadership.transfer != null -> ProposalRefusal.NOT_LEADER
            propose.payload.length > ConsensusSettings.MAXIMUM_PAYLOAD_CHARACTERS -> ProposalRefusal.TOO_LARGE
            leadership.proposals.size >= ConsensusSettings.MAXIMUM_PENDING -> ProposalRefusal.TOO_MANY_PENDING
            else -> null
        }
        return if (refusal == null) take(tables, propose) else refuse(tables, propose.proposal, refusal)
    }

    private fun take(tables: ConsensusTables, propose: ProposalReceived): ConsensusStep {
        val step = tables.appendOwn(CommandContent(propose.payload))
        val index = step.tables.log.lastIndex
        val leadership = step.tables.leadership?.let { it.copy(proposals = it.proposals.put(index, propose.proposal)) }
        val appended = AcknowledgeProposal(propose.proposal, index, tables.term)
        return Step(step.tables.copy(leadership = leadership), step.effects + appended)
    }

    /** A read waits for a broadcast that is sent after it. */
    fun confirm(tables: ConsensusTables, confirm: ReadIndexRequested): ConsensusStep {
        val leadership = tables.leadership
        return when {
            leadership == null -> refuse(tables, confirm.read, ProposalRefusal.NOT_LEADER)
            leadership.reads.size >= ConsensusSettings.MAXIMUM_PENDING ->
                refuse(tables, confirm.read, ProposalRefusal.TOO_MANY_PENDING)
            else -> {
                val reads = leadership.reads.add(ReadRow(confirm.read, leadership.round + 1))
                Step(tables.copy(leadership = leadership.copy(reads = reads)).hurryHeartbeat())
            }
        }
    }

    private fun refuse(tables: ConsensusTables, number: Long, reason: ProposalRefusal): ConsensusStep {
        val leader = tables.leader.takeIf { reason != ProposalRefusal.NOT_LEADER || it != tables.self }
        return Step(tables, listOf(RefuseProposal(number, leader, reason)))
    }
}
