/**
 * Follows newer terms and notes contact with the leader, before the other systems look at the same messages. A vote
 * request raises the term only where a vote is decided, because a member that hears a leader ignores it.
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
        val present = tables.copy(now = tick.now)
        return present.forEach(tick.received(present)) { t, received -> receive(t, received.from, received.message) }
    }

    private fun receive(tables: ConsensusTables, from: ReplicaId, message: ConsensusMessage): ConsensusStep =
        when (message) {
            is RequestVote -> Step(tables)
            is Vote -> if (isPromise(message)) Step(tables) else tables.adoptTerm(message.term, settings)
            is AppendEntries, is SnapshotPart -> hearLeader(tables, from, message.term)
            else -> tables.adoptTerm(message.term, settings)
        }

    /** A granted pre-vote carries the term that the candidate would take, not a term that anyone has. */
    private fun isPromise(vote: Vote): Boolean = vote.isPreVote && vote.isGranted

    private fun hearLeader(tables: ConsensusTables, from: ReplicaId, term: Long): ConsensusStep =
        tables.adoptTerm(term, settings).then { adopted ->
            val isLeader = term == adopted.term && adopted.leadership == null
            Step(if (isLeader) follow(adopted, from) else adopted)
        }

    private fun follow(tables: ConsensusTables, leader: ReplicaId): ConsensusTables =
        tables.copy(leader = leader, leaderHeardAt = tables.now, candidacy = null).resetElection(settings)
}
