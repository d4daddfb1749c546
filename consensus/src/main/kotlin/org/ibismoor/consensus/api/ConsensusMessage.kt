/**
 * Messages between members. Each carries the term of its sender.
 */
package org.ibismoor.consensus.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

@Serializable
sealed interface ConsensusMessage {
    val term: Long
}

/** Asks for a vote. With [isPreVote] nothing is promised and no term is raised. */
@Serializable
@SerialName("request_vote")
data class RequestVote(
    override val term: Long,
    val lastIndex: Long,
    val lastTerm: Long,
    val isPreVote: Boolean,
    val isTransfer: Boolean = false,
) : ConsensusMessage

/** Answers [RequestVote]. */
@Serializable
@SerialName("vote")
data class Vote(override val term: Long, val isGranted: Boolean, val isPreVote: Boolean) : ConsensusMessage

/** Entries after [previousIndex]; empty as a heartbeat. [round] identifies the heartbeat for read confirmation. */
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

/** Answers [AppendEntries]: [matchIndex] is durable if [isMatch]; otherwise it is a hint where to go back to. */
@Serializable
@SerialName("appended")
data class EntriesAppended(
    override val term: Long,
    val isMatch: Boolean,
    val matchIndex: Long,
    val round: Long,
) : ConsensusMessage

/** A part of a snapshot, from [offset] characters on. */
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

/** The leader asks the receiver to stand for election at once. */
@Serializable
@SerialName("transfer")
data class TransferRequest(override val term: Long) : ConsensusMessage
