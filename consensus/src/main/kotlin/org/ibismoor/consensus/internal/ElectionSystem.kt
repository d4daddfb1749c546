/**
 * Elections with pre-vote, the quorum check of a leader, and the transfer of leadership.
 */
package org.ibismoor.consensus.internal

import org.ibismoor.consensus.api.ConsensusInput
import org.ibismoor.consensus.api.ConsensusSettings
import org.ibismoor.consensus.api.ConsensusTables
import org.ibismoor.consensus.api.LeadershipTransferRequested
import org.ibismoor.consensus.api.MessageReceived
import org.ibismoor.consensus.api.RequestVote
import org.ibismoor.consensus.api.TransferRequest
import org.ibismoor.consensus.api.Vote
import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick

internal class ElectionSystem(private val settings: ConsensusSettings) : ConsensusSystem {
    private val voteResponder = VoteResponder(settings)
    private val campaign = Campaign(settings)
    private val transfer = LeadershipTransfer(settings)

    override fun run(tables: ConsensusTables, tick: Tick<ConsensusInput>): ConsensusStep =
        tables.runForEach(tick.acceptedMessages(tables), ::handleMessage)
            .then { if (LeadershipTransferRequested in tick.messages) Step(transfer.start(it)) else Step(it) }
            .then(::checkTimeouts)

    private fun handleMessage(tables: ConsensusTables, received: MessageReceived): ConsensusStep =
        when (val message = received.message) {
            is RequestVote -> voteResponder.answerRequest(tables, received.from, message)
            is Vote -> campaign.countVote(tables, received.from, message)
            is TransferRequest -> handleTransferRequest(tables, message)
            else -> Step(tables)
        }

    private fun handleTransferRequest(tables: ConsensusTables, request: TransferRequest): ConsensusStep {
        val isCurrent = request.term == tables.term && tables.leadership == null && tables.isVoter()
        return if (isCurrent) campaign.startElection(tables, isTransfer = true) else Step(tables)
    }

    private fun checkTimeouts(tables: ConsensusTables): ConsensusStep =
        when {
            tables.leadership != null -> if (hasQuorum(tables)) transfer.advance(tables) else tables.stepDown(settings)
            tables.now < tables.electionDue -> Step(tables)
            tables.isVoter() -> campaign.startPreVote(tables)
            else -> Step(tables.copy(leader = null).withNewElectionTimeout(settings))
        }

    private fun hasQuorum(tables: ConsensusTables): Boolean =
        tables.hasLeaderQuorum(settings.maximumElectionMillis)
}
