/**
 * Stands for election: first a pre-vote that raises no term, then the election itself.
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
    /** Asks the voters whether they would vote for this replica. */
    fun askBefore(tables: ConsensusTables): ConsensusStep {
        val asking = tables.copy(leader = null, candidacy = Candidacy(isPreVote = true, setOf(tables.self)))
            .resetElection(settings)
        return ask(asking, RequestVote(tables.term + 1, tables.log.lastIndex, tables.log.lastTerm, isPreVote = true))
    }

    /** Takes the next term and asks for votes. */
    fun stand(tables: ConsensusTables, isTransfer: Boolean): ConsensusStep {
        val term = tables.term + 1
        val candidacy = Candidacy(isPreVote = false, setOf(tables.self))
        val standing = tables.copy(term = term, votedFor = tables.self, leader = null, candidacy = candidacy)
            .resetElection(settings)
        val request = RequestVote(term, tables.log.lastIndex, tables.log.lastTerm, isPreVote = false, isTransfer)
        return Step(standing, listOf(persist(VoteRecord(term, tables.self)))).then { ask(it, request) }
    }

    fun count(tables: ConsensusTables, from: ReplicaId, vote: Vote): ConsensusStep {
        val candidacy = tables.candidacy
        val term = if (vote.isPreVote) tables.term + 1 else tables.term
        val isCounted = vote.isGranted && vote.term == term && candidacy?.isPreVote == vote.isPreVote
        return if (candidacy != null && isCounted) {
            decide(tables.copy(candidacy = candidacy.copy(granted = candidacy.granted + from)))
        } else {
            Step(tables)
        }
    }

    private fun ask(tables: ConsensusTables, request: RequestVote): ConsensusStep {
        val others = tables.voters.filter { it != tables.self }
        return Step(tables, others.map { SendMessage(it, request) }).then(::decide)
    }

    private fun decide(tables: ConsensusTables): ConsensusStep {
        val candidacy = tables.candidacy
        return when {
            candidacy == null || !tables.isQuorum(candidacy.granted) -> Step(tables)
            candidacy.isPreVote -> stand(tables, isTransfer = false)
            else -> lead(tables)
        }
    }

    private fun lead(tables: ConsensusTables): ConsensusStep {
        val others = tables.members.map { it.replica }.filter { it != tables.self }
        val leadership = Leadership(
            firstIndex = tables.log.lastIndex + 1,
            heartbeatDue = tables.now,
            peers = others.associateWith { tables.newPeer() }.toPersistentHashMap(),
        )
        return tables.copy(leader = tables.self, candidacy = null, leadership = leadership).appendOwn(LeaderContent)
    }
}
