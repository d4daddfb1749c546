/**
 * Inputs of a consensus replica.
 */
package org.ibismoor.consensus.api

import org.ibismoor.core.api.ReplicaId

sealed interface ConsensusInput

/** A message from another replica. */
data class MessageReceived(val from: ReplicaId, val message: ConsensusMessage) : ConsensusInput

/**
 * A request to append a command. The replica answers with [AcknowledgeProposal] or [RefuseProposal] for the same
 * number. The command is committed when [DeliverCommittedEntries] contains its entry.
 */
data class ProposalReceived(val proposal: Long, val payload: String) : ConsensusInput

/** A request to change the group to [replicas], one member at a time. Each new member is first added as a learner. */
data class MembershipRequested(val replicas: List<ReplicaId>) : ConsensusInput

/** A linearizable read. The replica answers with [ConfirmReadIndex] or [RefuseProposal] for the same number. */
data class ReadIndexRequested(val read: Long) : ConsensusInput

/** The application has taken a snapshot of all entries up to [index]; the log before it may be discarded. */
data class SnapshotTaken(val index: Long, val payload: String) : ConsensusInput

/** A request, before a shutdown, to transfer leadership to the voter with the most complete log. */
data object LeadershipTransferRequested : ConsensusInput
