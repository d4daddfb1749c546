/**
 * Decides on votes that others ask for.
 */
package org.ibismoor.consensus.internal

import org.ibismoor.consensus.api.ConsensusSettings
import org.ibismoor.consensus.api.ConsensusTables
import org.ibismoor.consensus.api.RequestVote
import org.ibismoor.consensus.api.SendMessage
import org.ibismoor.consensus.api.Vote
import org.ibismoor.consensus.api.VoteRecord
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.Step

internal class Ballot(private val settings: ConsensusSettings) {
    fun answer(tables: ConsensusTables, from: ReplicaId, request: RequestVote): ConsensusStep =
        when {
            !isAllowed(tables) || !request.isTransfer && hearsLeader(tables) -> Step(tables)
            request.isPreVote -> Step(tables, listOf(SendMessage(from, preVote(tables, request))))
            else -> tables.adoptTerm(request.term, settings).then { vote(it, from, request) }
        }

    /**
     * A replica that is not in its own membership may have lost a vote or entries with its disk, so it never votes. A
     * learner votes when it is asked, because it may have been promoted by an entry that it does not hold yet.
     */
    private fun isAllowed(tables: ConsensusTables): Boolean =
        tables.isMember() || !settings.isEnforced(SafetyRule.OUTSIDER_DOES_NOT_VOTE)

    private fun hearsLeader(tables: ConsensusTables): Boolean {
        val heardAt = tables.leaderHeardAt
        val isRecent = heardAt != null && tables.now - heardAt < settings.minimumElectionMillis
        return tables.leadership != null || isRecent
    }

    private fun preVote(tables: ConsensusTables, request: RequestVote): Vote {
        val isGranted = request.term > tables.term && isComplete(tables, request)
        return Vote(if (isGranted) request.term else tables.term, isGranted, isPreVote = true)
    }

    private fun vote(tables: ConsensusTables, from: ReplicaId, request: RequestVote): ConsensusStep {
        val isFree = tables.votedFor == null || tables.votedFor == from || !settings.isEnforced(SafetyRule.VOTE_ONCE)
        val isGranted = request.term == tables.term && isFree && isComplete(tables, request)
        val answer = SendMessage(from, Vote(tables.term, isGranted, isPreVote = false))
        return if (isGranted) {
            val voted = tables.copy(votedFor = from).resetElection(settings)
            Step(voted, listOf(persist(VoteRecord(tables.term, from)), answer))
        } else {
            Step(tables, listOf(answer))
        }
    }

    private fun isComplete(tables: ConsensusTables, request: RequestVote): Boolean {
        val log = tables.log
        val isLonger = request.lastTerm == log.lastTerm && request.lastIndex >= log.lastIndex
        return request.lastTerm > log.lastTerm || isLonger || !settings.isEnforced(SafetyRule.VOTE_FOR_COMPLETE_LOG)
    }
}
