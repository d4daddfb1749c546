/**
 * What a replica knows about itself and its group, as of its last tick.
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
     * A leader heard a quorum, or another replica heard the leader, within the maximum election timeout. A leader
     * without a quorum steps down within the same time, so its heartbeats stand for the quorum.
     */
    val hasQuorum: Boolean,
)
