/**
 * One entry of the replicated log. The payload is opaque to the consensus.
 */
package org.ibismoor.consensus.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

@Serializable
data class ConsensusEntry(val index: Long, val term: Long, val content: EntryContent)

/** What an entry carries. */
@Serializable
sealed interface EntryContent

/** Written by a new leader so that entries of earlier terms commit. */
@Serializable
@SerialName("leader")
data object LeaderContent : EntryContent

/** A command of the state machine above. */
@Serializable
@SerialName("command")
data class CommandContent(val payload: String) : EntryContent

/** The membership from this entry on. */
@Serializable
@SerialName("members")
data class MembersContent(val members: List<ConsensusMember>) : EntryContent
