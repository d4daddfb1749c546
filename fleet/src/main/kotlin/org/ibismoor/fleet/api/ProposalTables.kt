/**
 * Commands that this replica has proposed or forwarded and whose result is not known yet. [ProposalTables.proposed] and
 * [ProposalTables.forwarded] are keyed by proposal number, [ProposalTables.appended] by log index.
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

data class PendingCommand(val origin: CommandOrigin, val command: FleetCommand)

/** A command that this replica appended as the leader of [term] and that is not committed yet. */
data class AppendedCommand(val pending: PendingCommand, val term: Long)

/** The source of a command, to which its result goes. */
sealed interface CommandOrigin

data object LedgerOrigin : CommandOrigin

/** The share allocator or the member system, which read the result from the tables. */
data object AllocatorOrigin : CommandOrigin

/** An operator who published [configuration]. */
data class PublicationOrigin(val reply: Long, val configuration: ConfigurationTables, val digest: String) :
    CommandOrigin

/** Another replica, which forwarded the command. */
data class ReplicaOrigin(val reply: Long) : CommandOrigin
