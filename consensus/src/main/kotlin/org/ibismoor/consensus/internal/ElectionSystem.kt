/**
 * Elections with pre-vote, the check of a leader that it still hears a quorum, and the transfer of leadership.
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
    private val ballot = Ballot(settings)
    private val campaign = Campaign(settings)
    private val transfer = LeadershipTransfer(settings)

    override fun run(tables: ConsensusTables, tick: Tick<ConsensusInput>): ConsensusStep =
        tables.forEach(tick.received(tables), ::receive)
            .then { if (LeadershipTransferRequested in tick.messages) Step(transfer.begin(it)) else Step(it) }
            .then(::checkTime)

    private fun receive(tables: ConsensusTables, received: MessageReceived): ConsensusStep =
        when (val message = received.message) {
            is RequestVote -> ballot.answer(tables, received.from, message)
            is Vote -> campaign.count(tables, received.from, message)
            is TransferRequest -> answerTransfer(tables, message)
            else -> Step(tables)
        }

    private fun answerTransfer(tables: ConsensusTables, request: TransferRequest): ConsensusStep {
        val isCurrent = request.term == tables.term && tables.leadership == null && tables.isVoter()
        return if (isCurrent) campaign.stand(tables, isTransfer = true) else Step(tables)
    }

    private fun checkTime(tables: ConsensusTables): ConsensusStep =
        when {
            tables.leadership != null -> if (hasQuorum(tables)) transfer.advance(tables) else tables.stepDown(settings)
            tables.now < tables.electionDue -> Step(tables)
            tables.isVoter() -> campaign.askBefore(tables)
            else -> Step(tables.copy(leader = null).resetElection(settings))
        }

    private fun hasQuorum(tables: ConsensusTables): Boolean =
        tables.hasLeaderQuorum(settings.maximumElectionMillis)
}
