/**
 * Runs an election of this replica: first a pre-vote, which raises no term, then the election itself.
 */
package org.ibismoor.consensus.internal

import kotlinx.collections.immutable.toPersistentHashMap
import org.ibismoor.consensus.api.ConsensusSettings
import org.ibismoor.consensus.api.ConsensusTables
import org.ibismoor.consensus.api.LeaderContent
import org.ibismoor.consensus.api.RequestVote
import org.ibismoor.consensus.api.SendMessage
import org.ibismoor.consensus.api.Vote
import org.ibismoor.consensus.api.VoteRecord
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.Step

internal class Campaign(private val settings: ConsensusSettings) {
    /** Requests from the voters whether they would vote for this replica. */
    fun startPreVote(tables: ConsensusTables): ConsensusStep {
        val candidate = tables.copy(leader = null, candidacy = Candidacy(isPreVote = true, setOf(tables.self)))
            .withNewElectionTimeout(settings)
        val request = RequestVote(tables.term + 1, tables.log.lastIndex, tables.log.lastTerm, isPreVote = true)
        return requestVotes(candidate, request)
    }

    /** Enters the next term and requests votes. */
    fun startElection(tables: ConsensusTables, isTransfer: Boolean): ConsensusStep {
        val term = tables.term + 1
        val candidacy = Candidacy(isPreVote = false, setOf(tables.self))
        val candidate = tables.copy(term = term, votedFor = tables.self, leader = null, candidacy = candidacy)
            .withNewElectionTimeout(settings)
        val request = RequestVote(term, tables.log.lastIndex, tables.log.lastTerm, isPreVote = false, isTransfer)
        return Step(candidate, listOf(persist(VoteRecord(term, tables.self)))).then { requestVotes(it, request) }
    }

    fun countVote(tables: ConsensusTables, from: ReplicaId, vote: Vote): ConsensusStep {
        val candidacy = tables.candidacy
        val term = if (vote.isPreVote) tables.term + 1 else tables.term
        val isCounted = vote.isGranted && vote.term == term && candidacy?.isPreVote == vote.isPreVote
        return if (candidacy != null && isCounted) {
            advanceIfWon(tables.copy(candidacy = candidacy.copy(grantedBy = candidacy.grantedBy + from)))
        } else {
            Step(tables)
        }
    }

    private fun requestVotes(tables: ConsensusTables, request: RequestVote): ConsensusStep {
        val others = tables.voters.filter { it != tables.self }
        return Step(tables, others.map { SendMessage(it, request) }).then(::advanceIfWon)
    }

    private fun advanceIfWon(tables: ConsensusTables): ConsensusStep {
        val candidacy = tables.candidacy
        return when {
            candidacy == null || !tables.hasMajority(candidacy.grantedBy) -> Step(tables)
            candidacy.isPreVote -> startElection(tables, isTransfer = false)
            else -> becomeLeader(tables)
        }
    }

    private fun becomeLeader(tables: ConsensusTables): ConsensusStep {
        val others = tables.members.map { it.replica }.filter { it != tables.self }
        val leadership = Leadership(
            firstIndex = tables.log.lastIndex + 1,
            heartbeatDue = tables.now,
            peers = others.associateWith { tables.newPeerRow() }.toPersistentHashMap(),
        )
        return tables.copy(leader = tables.self, candidacy = null, leadership = leadership)
            .appendInOwnTerm(LeaderContent)
    }
}
