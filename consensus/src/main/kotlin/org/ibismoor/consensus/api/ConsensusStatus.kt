/**
 * Status of a replica and its view of the group, as of its last tick.
 */
package org.ibismoor.consensus.api

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.ReplicaId

@Serializable
data class ConsensusStatus(
    val replica: ReplicaId,
    val role: ConsensusRole,
    val term: Long,
    val leader: ReplicaId?,
    val commitIndex: Long,
    val lastIndex: Long,
    val snapshotIndex: Long,
    val members: List<ConsensusMember>,
    /**
     * Whether a leader had contact with a quorum, or another replica with its leader, within the maximum election
     * timeout. A leader without a quorum steps down within that time, so its heartbeats imply a quorum.
     */
    val hasQuorum: Boolean,
    /**
     * Index of the first entry of a leader's own term; null at other replicas. Only with this entry applied does the
     * state of a leader include all that earlier leaders have committed.
     */
    val firstIndexOfTerm: Long?,
)
