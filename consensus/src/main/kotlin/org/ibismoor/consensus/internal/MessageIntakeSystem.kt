/**
 * Enters newer terms and records contact with the leader before the other systems handle the same messages. A vote
 * request raises the term only in `VoteResponder`, because a member in contact with a leader ignores it.
 */
package org.ibismoor.consensus.internal

import org.ibismoor.consensus.api.AppendEntries
import org.ibismoor.consensus.api.ConsensusInput
import org.ibismoor.consensus.api.ConsensusMessage
import org.ibismoor.consensus.api.ConsensusSettings
import org.ibismoor.consensus.api.ConsensusTables
import org.ibismoor.consensus.api.RequestVote
import org.ibismoor.consensus.api.SnapshotPart
import org.ibismoor.consensus.api.Vote
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick

internal class MessageIntakeSystem(private val settings: ConsensusSettings) : ConsensusSystem {
    override fun run(tables: ConsensusTables, tick: Tick<ConsensusInput>): ConsensusStep {
        val current = tables.copy(now = tick.now)
        return current.runForEach(tick.acceptedMessages(current)) { t, received ->
            adoptTermOf(t, received.from, received.message)
        }
    }

    private fun adoptTermOf(tables: ConsensusTables, from: ReplicaId, message: ConsensusMessage): ConsensusStep =
        when (message) {
            is RequestVote -> Step(tables)
            is Vote -> if (isGrantedPreVote(message)) Step(tables) else tables.adoptTerm(message.term, settings)
            is AppendEntries, is SnapshotPart -> recordLeaderContact(tables, from, message.term)
            else -> tables.adoptTerm(message.term, settings)
        }

    /** A granted pre-vote carries the term of the possible election, which no replica has entered yet. */
    private fun isGrantedPreVote(vote: Vote): Boolean = vote.isPreVote && vote.isGranted

    private fun recordLeaderContact(tables: ConsensusTables, from: ReplicaId, term: Long): ConsensusStep =
        tables.adoptTerm(term, settings).then { adopted ->
            val isLeader = term == adopted.term && adopted.leadership == null
            Step(if (isLeader) followLeader(adopted, from) else adopted)
        }

    private fun followLeader(tables: ConsensusTables, leader: ReplicaId): ConsensusTables =
        tables.copy(leader = leader, lastLeaderContactAt = tables.now, candidacy = null)
            .withNewElectionTimeout(settings)
}
