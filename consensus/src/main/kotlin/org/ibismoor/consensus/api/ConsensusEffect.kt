/**
 * What a consensus replica asks of its process. Effects are performed in order: a message is sent only after every
 * record before it is synced.
 */
package org.ibismoor.consensus.api

import org.ibismoor.core.api.ReplicaId

sealed interface ConsensusEffect

/** Append these records to the consensus log and sync them. */
data class PersistRecords(val records: List<ConsensusRecord>) : ConsensusEffect

/** Send a message. Loss, delay, duplication and reordering are allowed. */
data class SendMessage(val to: ReplicaId, val message: ConsensusMessage) : ConsensusEffect

/** Apply these entries to the state machine, in order. Each entry is given once after a start. */
data class DeliverCommittedEntries(val entries: List<ConsensusEntry>) : ConsensusEffect

/** Replace the state machine by this snapshot, which covers all entries up to [index]. */
data class RestoreSnapshot(val index: Long, val payload: String) : ConsensusEffect

/** The proposal is in the leader's log at [index] and [term], not yet committed. */
data class AcknowledgeProposal(val proposal: Long, val index: Long, val term: Long) : ConsensusEffect

/** The proposal or read is refused for [reason]. [leader] is the replica to ask, if it is known. */
data class RefuseProposal(
    val proposal: Long,
    val leader: ReplicaId?,
    val reason: ProposalRefusal = ProposalRefusal.NOT_LEADER,
) : ConsensusEffect

/** A quorum confirmed after the request that this replica leads; entries up to [index] were committed before it. */
data class ConfirmReadIndex(val read: Long, val index: Long) : ConsensusEffect
