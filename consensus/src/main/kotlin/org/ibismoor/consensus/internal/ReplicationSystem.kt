/**
 * Appends proposals and entries from the leader, tracks the progress of the peers, and sends entries and heartbeats.
 */
package org.ibismoor.consensus.internal

import org.ibismoor.consensus.api.AppendEntries
import org.ibismoor.consensus.api.ConsensusInput
import org.ibismoor.consensus.api.ConsensusSettings
import org.ibismoor.consensus.api.ConsensusTables
import org.ibismoor.consensus.api.EntriesAppended
import org.ibismoor.consensus.api.MessageReceived
import org.ibismoor.consensus.api.ProposalReceived
import org.ibismoor.consensus.api.ReadIndexRequested
import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick

internal class ReplicationSystem(settings: ConsensusSettings) : ConsensusSystem {
    private val requests = LeaderRequests()
    private val receiver = LogReceiver()
    private val progress = PeerProgress()
    private val sender = EntrySender(settings)

    override fun run(tables: ConsensusTables, tick: Tick<ConsensusInput>): ConsensusStep =
        tables.runForEach(tick.acceptedMessages(tables), ::handleMessage)
            .then { it.runForEach(tick.messages, ::handleRequest) }
            .then(sender::sendDue)

    private fun handleMessage(tables: ConsensusTables, received: MessageReceived): ConsensusStep =
        when (val message = received.message) {
            is AppendEntries -> receiver.receiveEntries(tables, received.from, message)
            is EntriesAppended -> Step(progress.recordAnswer(tables, received.from, message))
            else -> Step(tables)
        }

    private fun handleRequest(tables: ConsensusTables, input: ConsensusInput): ConsensusStep =
        when (input) {
            is ProposalReceived -> requests.handleProposal(tables, input)
            is ReadIndexRequested -> requests.handleRead(tables, input)
            else -> Step(tables)
        }
}
