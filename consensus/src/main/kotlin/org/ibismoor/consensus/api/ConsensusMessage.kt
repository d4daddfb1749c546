/**
 * Messages between replicas.
 */
package org.ibismoor.consensus.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

@Serializable
sealed interface ConsensusMessage {
    /** Term of the sender. A pre-vote request and its grant carry the term of the possible election instead. */
    val term: Long
}

/**
 * Requests a vote. A pre-vote ([isPreVote]) binds the voter to nothing and raises no term. An election that the leader
 * requested ([isTransfer]) is decided although the leader is reachable.
 */
@Serializable
@SerialName("request_vote")
data class RequestVote(
    override val term: Long,
    val lastIndex: Long,
    val lastTerm: Long,
    val isPreVote: Boolean,
    val isTransfer: Boolean = false,
) : ConsensusMessage

@Serializable
@SerialName("vote")
data class Vote(override val term: Long, val isGranted: Boolean, val isPreVote: Boolean) : ConsensusMessage

/** Entries after [previousIndex], or a heartbeat if empty. Reads are confirmed by answers to a broadcast of [round]. */
@Serializable
@SerialName("append")
data class AppendEntries(
    override val term: Long,
    val previousIndex: Long,
    val previousTerm: Long,
    val entries: List<ConsensusEntry>,
    val commitIndex: Long,
    val round: Long,
) : ConsensusMessage

/**
 * Answers [AppendEntries]. If [isMatch], the log is durable up to [matchIndex]; otherwise the leader should retry after
 * that index.
 */
@Serializable
@SerialName("appended")
data class EntriesAppended(
    override val term: Long,
    val isMatch: Boolean,
    val matchIndex: Long,
    val round: Long,
) : ConsensusMessage

/** The part of a snapshot that starts at [offset], in characters. */
@Serializable
@SerialName("snapshot")
data class SnapshotPart(
    override val term: Long,
    val index: Long,
    val indexTerm: Long,
    val members: List<ConsensusMember>,
    val offset: Int,
    val part: String,
    val isLast: Boolean,
) : ConsensusMessage

/** Answers [SnapshotPart]: the receiver has the first [received] characters of the snapshot of [index]. */
@Serializable
@SerialName("snapshot_received")
data class SnapshotReceived(
    override val term: Long,
    val index: Long,
    val received: Int,
    val isInstalled: Boolean,
) : ConsensusMessage

/** The leader requests that the receiver starts an election at once. */
@Serializable
@SerialName("transfer")
data class TransferRequest(override val term: Long) : ConsensusMessage
