/**
 * Commands that this replica has proposed or forwarded and whose result is open.
 */
package org.ibismoor.fleet.api

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.ibismoor.configuration.api.ConfigurationTables
import org.ibismoor.ledger.api.FleetCommand

data class ProposalTables(
    val nextNumber: Long = 1,
    val proposed: PersistentMap<Long, PendingCommand> = persistentHashMapOf(),
    val appended: PersistentMap<Long, AppendedCommand> = persistentHashMapOf(),
    val forwarded: PersistentMap<Long, PendingCommand> = persistentHashMapOf(),
)

/** A command and whoever waits for its result. */
data class PendingCommand(val origin: CommandOrigin, val command: FleetCommand)

/** A command that the leader appended in [term] and that is not yet committed. */
data class AppendedCommand(val pending: PendingCommand, val term: Long)

/** Whoever waits for the result of a command. */
sealed interface CommandOrigin

/** The domain ledger of this replica. */
data object LedgerOrigin : CommandOrigin

/** The share allocator, which reads the result from the tables. */
data object AllocatorOrigin : CommandOrigin

/** An operator who publishes [configuration]. */
data class PublicationOrigin(val reply: Long, val configuration: ConfigurationTables, val digest: String) :
    CommandOrigin

/** Another replica. */
data class ReplicaOrigin(val reply: Long) : CommandOrigin
