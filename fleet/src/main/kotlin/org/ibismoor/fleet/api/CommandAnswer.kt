/**
 * Answer of a control replica to a command.
 */
package org.ibismoor.fleet.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.ledger.api.FleetResult

@Serializable
sealed interface CommandAnswer

/** The command is committed; [result] is what applying it gave. */
@Serializable
@SerialName("finished")
data class CommandCommitted(val result: FleetResult) : CommandAnswer

/** This replica does not lead and did not append the command. [leader] is null if no leader is known. */
@Serializable
@SerialName("not_leader")
data class NotLeader(val leader: ReplicaId?) : CommandAnswer

/** The command was not appended and will not be committed. */
@Serializable
@SerialName("refused")
data class CommandRefused(val problem: String) : CommandAnswer

/** The command may or may not be committed, now or later. The same command may be sent again. */
@Serializable
@SerialName("unknown")
data object CommandOutcomeUnknown : CommandAnswer
