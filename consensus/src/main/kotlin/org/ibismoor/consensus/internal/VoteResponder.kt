/**
 * Decides vote and pre-vote requests of other replicas.
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

internal class VoteResponder(private val settings: ConsensusSettings) {
    fun answerRequest(tables: ConsensusTables, from: ReplicaId, request: RequestVote): ConsensusStep =
        when {
            !canVote(tables) || !request.isTransfer && hasLeaderContact(tables) -> Step(tables)
            request.isPreVote -> Step(tables, listOf(SendMessage(from, preVoteAnswer(tables, request))))
            else -> tables.adoptTerm(request.term, settings).then { decideVote(it, from, request) }
        }

    /**
     * A replica that is not a member according to its own log may have lost a vote or entries with its disk, so it
     * never votes. A learner answers vote requests, because an entry that it has not yet received may have promoted it.
     */
    private fun canVote(tables: ConsensusTables): Boolean =
        tables.isMember() || !settings.isEnforced(SafetyRule.OUTSIDER_DOES_NOT_VOTE)

    private fun hasLeaderContact(tables: ConsensusTables): Boolean {
        val contactAt = tables.lastLeaderContactAt
        val isRecent = contactAt != null && tables.now - contactAt < settings.minimumElectionMillis
        return tables.leadership != null || isRecent
    }

    private fun preVoteAnswer(tables: ConsensusTables, request: RequestVote): Vote {
        val isGranted = request.term > tables.term && isLogUpToDate(tables, request)
        return Vote(if (isGranted) request.term else tables.term, isGranted, isPreVote = true)
    }

    private fun decideVote(tables: ConsensusTables, from: ReplicaId, request: RequestVote): ConsensusStep {
        val canGrant = tables.votedFor == null || tables.votedFor == from || !settings.isEnforced(SafetyRule.VOTE_ONCE)
        val isGranted = request.term == tables.term && canGrant && isLogUpToDate(tables, request)
        val answer = SendMessage(from, Vote(tables.term, isGranted, isPreVote = false))
        return if (isGranted) {
            val voted = tables.copy(votedFor = from).withNewElectionTimeout(settings)
            Step(voted, listOf(persist(VoteRecord(tables.term, from)), answer))
        } else {
            Step(tables, listOf(answer))
        }
    }

    private fun isLogUpToDate(tables: ConsensusTables, request: RequestVote): Boolean {
        val log = tables.log
        val isAsLong = request.lastTerm == log.lastTerm && request.lastIndex >= log.lastIndex
        return request.lastTerm > log.lastTerm || isAsLong || !settings.isEnforced(SafetyRule.VOTE_FOR_COMPLETE_LOG)
    }
}
