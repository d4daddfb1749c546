/**
 * Durable records of a consensus replica. Replaying them in the order of the log restores the replica.
 */
package org.ibismoor.consensus.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.ibismoor.core.api.ReplicaId

@Serializable
sealed interface ConsensusRecord

@Serializable
@SerialName("vote")
data class VoteRecord(val term: Long, val votedFor: ReplicaId?) : ConsensusRecord

/** Appended entries. They replace all entries of the log from the first of them on. */
@Serializable
@SerialName("entries")
data class EntriesRecord(val entries: List<ConsensusEntry>) : ConsensusRecord

/** All entries up to [index] are known to be committed. */
@Serializable
@SerialName("commit")
data class CommitRecord(val index: Long) : ConsensusRecord

/** A snapshot that replaces all entries up to [index], the last of which had [term]. */
@Serializable
@SerialName("snapshot")
data class SnapshotRecord(
    val index: Long,
    val term: Long,
    val members: List<ConsensusMember>,
    val payload: String,
) : ConsensusRecord
