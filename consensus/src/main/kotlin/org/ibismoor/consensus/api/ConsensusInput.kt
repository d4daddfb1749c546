/**
 * What drives a consensus replica beside the passing of time.
 */
package org.ibismoor.consensus.api

import org.ibismoor.core.api.ReplicaId

sealed interface ConsensusInput

/** A message from another member. */
data class MessageReceived(val from: ReplicaId, val message: ConsensusMessage) : ConsensusInput

/**
 * A request to append a command. The replica answers with [AcknowledgeProposal] or [RefuseProposal] for the same number;
 * [DeliverCommittedEntries] tells when it is committed.
 */
data class ProposalReceived(val proposal: Long, val payload: String) : ConsensusInput

/** A request to reach these members, one change at a time, with every new member a learner first. */
data class MembershipRequested(val replicas: List<ReplicaId>) : ConsensusInput

/** A request to confirm that this replica leads; answered with [ConfirmReadIndex] or [RefuseProposal]. */
data class ReadIndexRequested(val read: Long) : ConsensusInput

/** The state machine above has written a snapshot of all entries up to [index]; the log may be cut there. */
data class SnapshotTaken(val index: Long, val payload: String) : ConsensusInput

/** A request to hand leadership to the member that is furthest ahead, before a shutdown. */
data object LeadershipTransferRequested : ConsensusInput
