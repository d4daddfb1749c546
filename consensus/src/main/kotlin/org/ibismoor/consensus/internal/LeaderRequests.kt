/**
 * Accepts proposals and reads at the leader, or refuses them with the reason.
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
    fun handleProposal(tables: ConsensusTables, request: ProposalReceived): ConsensusStep {
        val leadership = tables.leadership
        val refusal = when {
            leadership == null || leadership.transfer != null -> ProposalRefusal.NOT_LEADER
            request.payload.length > ConsensusSettings.MAXIMUM_PAYLOAD_CHARACTERS -> ProposalRefusal.TOO_LARGE
            !hasRoom(tables, leadership, request) -> ProposalRefusal.TOO_MANY_PENDING
            else -> null
        }
        return if (refusal == null) appendProposal(tables, request) else refuse(tables, request.proposal, refusal)
    }

    /** Uncommitted entries cannot be compacted, so they are bounded here. */
    private fun hasRoom(tables: ConsensusTables, leadership: Leadership, request: ProposalReceived): Boolean {
        val characters = tables.log.charactersAfter(tables.commitIndex) + request.payload.length
        return leadership.proposals.size < ConsensusSettings.MAXIMUM_PENDING_REQUESTS &&
            characters <= ConsensusSettings.MAXIMUM_PENDING_CHARACTERS
    }

    private fun appendProposal(tables: ConsensusTables, request: ProposalReceived): ConsensusStep {
        val step = tables.appendInOwnTerm(CommandContent(request.payload))
        val index = step.tables.log.lastIndex
        val leadership = step.tables.leadership?.let { it.copy(proposals = it.proposals.put(index, request.proposal)) }
        val appended = AcknowledgeProposal(request.proposal, index, tables.term)
        return Step(step.tables.copy(leadership = leadership), step.effects + appended)
    }

    /** A read is confirmed by a broadcast that is sent after the request. */
    fun handleRead(tables: ConsensusTables, request: ReadIndexRequested): ConsensusStep {
        val leadership = tables.leadership
        return when {
            leadership == null -> refuse(tables, request.read, ProposalRefusal.NOT_LEADER)
            leadership.reads.size >= ConsensusSettings.MAXIMUM_PENDING_REQUESTS ->
                refuse(tables, request.read, ProposalRefusal.TOO_MANY_PENDING)
            else -> {
                val reads = leadership.reads.add(ReadRow(request.read, leadership.round + 1))
                Step(tables.copy(leadership = leadership.copy(reads = reads)).withImmediateHeartbeat())
            }
        }
    }

    private fun refuse(tables: ConsensusTables, number: Long, reason: ProposalRefusal): ConsensusStep {
        val leader = tables.leader.takeIf { reason != ProposalRefusal.NOT_LEADER || it != tables.self }
        return Step(tables, listOf(RefuseProposal(number, leader, reason)))
    }
}
