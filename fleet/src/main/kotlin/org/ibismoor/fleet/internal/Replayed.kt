/**
 * Applies committed entries to the fleet tables.
 */
package org.ibismoor.fleet.internal

import org.ibismoor.consensus.api.CommandContent
import org.ibismoor.consensus.api.ConsensusEntry
import org.ibismoor.consensus.api.RestoredConsensus
import org.ibismoor.fleet.api.FleetCodec
import org.ibismoor.ledger.api.FleetTables
import org.ibismoor.ledger.api.applyCommand

internal data class Replayed(val fleet: FleetTables, val index: Long)

/** The fleet tables after the snapshot and the entries that were committed before the restart. */
internal fun replay(restored: RestoredConsensus, codec: FleetCodec): Replayed {
    val snapshot = restored.snapshot
    val start = Replayed(snapshot?.let { codec.readTables(it.payload) } ?: FleetTables(), snapshot?.index ?: 0)
    return restored.committed.fold(start) { state, entry ->
        Replayed(applyEntry(state.fleet, entry, codec), entry.index)
    }
}

private fun applyEntry(fleet: FleetTables, entry: ConsensusEntry, codec: FleetCodec): FleetTables =
    when (val content = entry.content) {
        is CommandContent -> applyCommand(fleet, codec.readCommand(content.payload)).tables
        else -> fleet
    }
