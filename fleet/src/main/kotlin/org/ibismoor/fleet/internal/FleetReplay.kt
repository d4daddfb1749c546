/**
 * Restores the fleet tables at a start from the snapshot and the entries that were committed before.
 */
package org.ibismoor.fleet.internal

import org.ibismoor.consensus.api.CommandContent
import org.ibismoor.consensus.api.ConsensusEntry
import org.ibismoor.consensus.api.RestoredConsensus
import org.ibismoor.fleet.api.FleetCodec
import org.ibismoor.ledger.api.FleetTables
import org.ibismoor.ledger.api.applyCommand

/** The fleet tables after the entry with [index]. */
internal data class FleetReplay(val fleet: FleetTables, val index: Long)

internal fun replay(restored: RestoredConsensus, codec: FleetCodec): FleetReplay {
    val snapshot = restored.snapshot
    val start = FleetReplay(snapshot?.let { codec.readTables(it.payload) } ?: FleetTables(), snapshot?.index ?: 0)
    return restored.committed.fold(start) { state, entry ->
        FleetReplay(applyEntry(state.fleet, entry, codec), entry.index)
    }
}

private fun applyEntry(fleet: FleetTables, entry: ConsensusEntry, codec: FleetCodec): FleetTables =
    when (val content = entry.content) {
        is CommandContent -> applyCommand(fleet, codec.readCommand(content.payload)).tables
        else -> fleet
    }
