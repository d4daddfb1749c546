/**
 * A durable record of a consensus replica. Replaying the records of a log in order restores the replica.
 */
package org.ibismoor.consensus.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.ibismoor.core.api.ReplicaId

@Serializable
sealed interface ConsensusRecord

/** Term and vote. */
@Serializable
@SerialName("vote")
data class VoteRecord(val term: Long, val votedFor: ReplicaId?) : ConsensusRecord

/** Entries to append. Entries of the log at and after the first index are removed before. */
@Serializable
@SerialName("entries")
data class EntriesRecord(val entries: List<ConsensusEntry>) : ConsensusRecord

/** Highest index that is known to be committed. */
@Serializable
@SerialName("commit")
data class CommitRecord(val index: Long) : ConsensusRecord

/** A snapshot that replaces all entries up to [index]. */
@Serializable
@SerialName("snapshot")
data class SnapshotRecord(
    val index: Long,
    val term: Long,
    val members: List<ConsensusMember>,
    val payload: String,
) : ConsensusRecord
