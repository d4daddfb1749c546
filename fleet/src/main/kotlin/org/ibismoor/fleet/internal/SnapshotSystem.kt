/**
 * Creates a snapshot when the consensus log has grown enough and compacts the log afterwards. Compacts the log of the
 * domain ledger when it has grown enough.
 */
package org.ibismoor.fleet.internal

import kotlinx.collections.immutable.plus
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickSystem
import org.ibismoor.fleet.api.ControlEffect
import org.ibismoor.fleet.api.ControlMessage
import org.ibismoor.fleet.api.ControlSettings
import org.ibismoor.fleet.api.ControlTables
import org.ibismoor.fleet.api.FleetCodec
import org.ibismoor.fleet.api.LogGrowth
import org.ibismoor.fleet.api.ReplaceConsensus
import org.ibismoor.fleet.api.ReplaceLedger
import org.ibismoor.consensus.api.compactRecords as compactConsensus
import org.ibismoor.ledger.api.compactRecords as compactLedger

internal class SnapshotSystem(private val codec: FleetCodec, private val settings: ControlSettings) :
    TickSystem<ControlTables, ControlMessage, ControlEffect> {
    override fun run(tables: ControlTables, tick: Tick<ControlMessage>): ControlStep {
        val snapshot = if (isSnapshotDue(tables.growth)) takeSnapshot(tables) else tables
        val isCompacted = tick.messages.any { it is ConsensusLogCompacted }
        val consensus = if (isCompacted) listOf(ReplaceConsensus(compactConsensus(snapshot.consensus))) else emptyList()
        val ledger = compactLedgerLog(snapshot)
        return ControlStep(ledger.tables, consensus + ledger.effects)
    }

    private fun isSnapshotDue(growth: LogGrowth): Boolean =
        growth.entries >= settings.snapshotEntries || growth.characters >= settings.snapshotCharacters

    /** The consensus drops the covered entries in the next pass, at whose end the log file is rewritten. */
    private fun takeSnapshot(tables: ControlTables): ControlTables =
        tables.copy(
            growth = tables.growth.copy(entries = 0, characters = 0),
            inbox = tables.inbox +
                SnapshotCreated(tables.appliedIndex, codec.writeTables(tables.fleet)) +
                ConsensusLogCompacted,
        )

    private fun compactLedgerLog(tables: ControlTables): ControlStep {
        val growth = tables.growth
        if (growth.ledgerRecords < settings.ledgerRecords) return ControlStep(tables)
        return ControlStep(
            tables.copy(growth = growth.copy(ledgerRecords = 0)),
            listOf(ReplaceLedger(compactLedger(tables.ledger))),
        )
    }
}
