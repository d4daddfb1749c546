/**
 * Replaces the log by a snapshot of the state when it exceeds its size limits. The consensus receives the snapshot in
 * the next pass of the same tick, and the compacted log is written in a pass after that.
 */
package org.ibismoor.coordination.internal

import org.ibismoor.consensus.api.SnapshotTaken
import org.ibismoor.consensus.api.compactRecords
import org.ibismoor.consensus.api.status
import org.ibismoor.coordination.api.CoordinationCodec
import org.ibismoor.coordination.api.CoordinationMessage
import org.ibismoor.coordination.api.CoordinationSettings
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.LogGrowth
import org.ibismoor.coordination.api.ReplaceRecords
import org.ibismoor.core.api.Tick

internal class SnapshotSystem(
    private val codec: CoordinationCodec,
    private val settings: CoordinationSettings,
) : CoordinationSystem {
    override fun run(tables: CoordinationTables, tick: Tick<CoordinationMessage>): CoordinationStep {
        val growth = tables.growth
        val isSnapshotDue =
            growth.entries >= settings.snapshotEntries || growth.characters >= settings.snapshotCharacters
        val isTaken = growth == LogGrowth() && tables.consensus.status().snapshotIndex == tables.appliedIndex
        return when {
            isSnapshotDue -> CoordinationStep(takeSnapshot(tables))
            isTaken && tables.isLogRewriteDue -> CoordinationStep(
                tables.copy(isLogRewriteDue = false),
                listOf(ReplaceRecords(compactRecords(tables.consensus))),
            )
            else -> CoordinationStep(tables)
        }
    }

    private fun takeSnapshot(tables: CoordinationTables): CoordinationTables {
        val snapshot = SnapshotTaken(tables.appliedIndex, codec.writeState(tables.state))
        return tables.copy(
            growth = LogGrowth(),
            isLogRewriteDue = true,
            consensusInputs = tables.consensusInputs.add(snapshot),
        )
    }
}
