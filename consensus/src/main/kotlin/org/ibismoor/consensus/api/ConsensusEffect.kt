/**
 * Effects that a consensus replica requests from its process. The process must perform them in order and send a message
 * only after it has synced every record before it.
 */
package org.ibismoor.consensus.api

import org.ibismoor.core.api.ReplicaId

sealed interface ConsensusEffect

/** Append [records] to the consensus log and sync them. */
data class PersistRecords(val records: List<ConsensusRecord>) : ConsensusEffect

/** Send [message] to [to]. The network may lose, delay, duplicate and reorder messages. */
data class SendMessage(val to: ReplicaId, val message: ConsensusMessage) : ConsensusEffect

/** Apply [entries] to the application state, in order. Each entry is delivered once per start of the process. */
data class DeliverCommittedEntries(val entries: List<ConsensusEntry>) : ConsensusEffect

/** Replace the application state by a snapshot, which covers all entries up to [index]. */
data class RestoreSnapshot(val index: Long, val payload: String) : ConsensusEffect

/** Report that the proposal is in the leader's log at [index] and [term]. It is not yet committed. */
data class AcknowledgeProposal(val proposal: Long, val index: Long, val term: Long) : ConsensusEffect

/** Refuse a proposal or a read. [leader] is the replica to send it to instead, or null if none is known. */
data class RefuseProposal(
    val proposal: Long,
    val leader: ReplicaId?,
    val reason: ProposalRefusal = ProposalRefusal.NOT_LEADER,
) : ConsensusEffect

/**
 * Report that a quorum has confirmed the leadership of this replica since the read was requested. Entries up to [index]
 * were committed before; once they are applied, the read is linearizable.
 */
data class ConfirmReadIndex(val read: Long, val index: Long) : ConsensusEffect
