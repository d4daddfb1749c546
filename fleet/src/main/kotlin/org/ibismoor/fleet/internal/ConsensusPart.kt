/**
 * Adapts the consensus state machine to the messages and effects of the control replica.
 */
package org.ibismoor.fleet.internal

import org.ibismoor.consensus.api.AcknowledgeProposal
import org.ibismoor.consensus.api.ConfirmReadIndex
import org.ibismoor.consensus.api.ConsensusEffect
import org.ibismoor.consensus.api.ConsensusInput
import org.ibismoor.consensus.api.ConsensusSettings
import org.ibismoor.consensus.api.ConsensusTables
import org.ibismoor.consensus.api.DeliverCommittedEntries
import org.ibismoor.consensus.api.LeadershipTransferRequested
import org.ibismoor.consensus.api.MembershipRequested
import org.ibismoor.consensus.api.MessageReceived
import org.ibismoor.consensus.api.PersistRecords
import org.ibismoor.consensus.api.ProposalReceived
import org.ibismoor.consensus.api.RefuseProposal
import org.ibismoor.consensus.api.RestoreSnapshot
import org.ibismoor.consensus.api.SendMessage
import org.ibismoor.consensus.api.SnapshotTaken
import org.ibismoor.consensus.api.createConsensus
import org.ibismoor.fleet.api.ConsensusReceived
import org.ibismoor.fleet.api.ControlMessage
import org.ibismoor.fleet.api.ControlTables
import org.ibismoor.fleet.api.SendConsensus
import org.ibismoor.fleet.api.ShutdownRequested
import org.ibismoor.fleet.api.SyncConsensus

internal class ConsensusPart(settings: ConsensusSettings) : Part<ConsensusTables, ConsensusInput, ConsensusEffect> {
    override val machine = createConsensus(settings)

    override fun tables(control: ControlTables): ConsensusTables = control.consensus

    override fun withTables(control: ControlTables, tables: ConsensusTables): ControlTables =
        control.copy(consensus = tables)

    override fun messagesFor(control: ControlTables, message: ControlMessage): List<ConsensusInput> =
        listOfNotNull(
            when (message) {
                is ConsensusReceived -> MessageReceived(message.from, message.message)
                is ProposalSubmitted -> ProposalReceived(message.proposal, message.payload)
                is SnapshotCreated -> SnapshotTaken(message.index, message.payload)
                is MembershipChangeRequested -> MembershipRequested(message.replicas)
                is ShutdownRequested -> LeadershipTransferRequested
                else -> null
            },
        )

    override fun translate(control: ControlTables, effect: ConsensusEffect): Translation =
        when (effect) {
            is PersistRecords -> Translation.effect(SyncConsensus(effect.records))
            is SendMessage -> Translation.effect(SendConsensus(effect.to, effect.message))
            is DeliverCommittedEntries -> Translation.message(CommittedEntriesReceived(effect.entries))
            is RestoreSnapshot -> Translation.message(CommittedSnapshotReceived(effect.index, effect.payload))
            is AcknowledgeProposal ->
                Translation.message(ProposalAccepted(effect.proposal, effect.index, effect.term))
            is RefuseProposal ->
                Translation.message(ProposalRejected(effect.proposal, effect.leader, effect.reason))
            is ConfirmReadIndex -> Translation.NONE
        }
}
