/**
 * An entry of the replicated log. The consensus does not interpret the payload of a command.
 */
package org.ibismoor.consensus.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable

@Serializable
data class ConsensusEntry(val index: Long, val term: Long, val content: EntryContent)

@Serializable
sealed interface EntryContent

/** Appended by a new leader, because entries of earlier terms commit only with an entry of the current term. */
@Serializable
@SerialName("leader")
data object LeaderContent : EntryContent

/** A command of the application state machine. */
@Serializable
@SerialName("command")
data class CommandContent(val payload: String) : EntryContent

/** The members of the group from this entry on, before it is committed. */
@Serializable
@SerialName("members")
data class MembersContent(val members: List<ConsensusMember>) : EntryContent
