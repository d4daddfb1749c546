/**
 * Answer to a command that was handed to a replica.
 */
package org.ibismoor.fleet.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.ledger.api.FleetResult

@Serializable
sealed interface CommandAnswer

/** The command is committed with this result. */
@Serializable
@SerialName("finished")
data class CommandCommitted(val result: FleetResult) : CommandAnswer

/** This replica does not lead and did not append the command. [leader] is the replica to ask, if it is known. */
@Serializable
@SerialName("not_leader")
data class NotLeader(val leader: ReplicaId?) : CommandAnswer

/** The command was not appended and will not be committed, for the stated problem. */
@Serializable
@SerialName("refused")
data class CommandRefused(val problem: String) : CommandAnswer

/** It is not known whether the command is or will be committed. The same command may be sent again. */
@Serializable
@SerialName("unknown")
data object CommandOutcomeUnknown : CommandAnswer
