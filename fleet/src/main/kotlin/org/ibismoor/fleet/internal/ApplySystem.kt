/**
 * Applies committed entries and snapshots to the fleet tables and reports the results of commands to their origins.
 */
package org.ibismoor.fleet.internal

import kotlinx.collections.immutable.plus
import org.ibismoor.configuration.api.deltaBetween
import org.ibismoor.consensus.api.CommandContent
import org.ibismoor.consensus.api.ConsensusEntry
import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickSystem
import org.ibismoor.fleet.api.CommandCommitted
import org.ibismoor.fleet.api.CommandOutcomeUnknown
import org.ibismoor.fleet.api.ControlEffect
import org.ibismoor.fleet.api.ControlMessage
import org.ibismoor.fleet.api.ControlTables
import org.ibismoor.fleet.api.FleetCodec
import org.ibismoor.ledger.api.FleetResult
import org.ibismoor.ledger.api.Publish
import org.ibismoor.ledger.api.applyCommand

internal class ApplySystem(private val codec: FleetCodec) :
    TickSystem<ControlTables, ControlMessage, ControlEffect> {
    override fun run(tables: ControlTables, tick: Tick<ControlMessage>): Step<ControlTables, ControlEffect> =
        Step(
            tick.messages.fold(tables) { control, message ->
                when (message) {
                    is CommittedEntriesReceived -> message.entries.fold(control, ::applyEntry)
                    is CommittedSnapshotReceived -> restoreSnapshot(control, message)
                    else -> control
                }
            },
        )

    private fun applyEntry(control: ControlTables, entry: ConsensusEntry): ControlTables {
        val content = entry.content
        val applied = if (content is CommandContent) applyCommand(control, entry, content.payload) else control
        return applied.copy(appliedIndex = entry.index)
    }

    private fun applyCommand(control: ControlTables, entry: ConsensusEntry, payload: String): ControlTables {
        val command = codec.readCommand(payload)
        val step = applyCommand(control.fleet, command)
        val isPublished = step.tables.configuration.number != control.fleet.configuration.number
        val delta = (command as? Publish)?.delta?.takeIf { isPublished }
        val change = FleetTablesChanged(step.changed, delta)
        val growth = control.growth
        return completeProposal(control, entry, step.result).copy(
            fleet = step.tables,
            growth = growth.copy(entries = growth.entries + 1, characters = growth.characters + payload.length),
        ).let { it.copy(inbox = it.inbox + change) }
    }

    /**
     * An entry of another term at the same index is another command, so the outcome of this replica's own command is
     * unknown.
     */
    private fun completeProposal(control: ControlTables, entry: ConsensusEntry, result: FleetResult): ControlTables {
        val appended = control.proposals.appended[entry.index] ?: return control
        val answer = if (appended.term == entry.term) CommandCommitted(result) else CommandOutcomeUnknown
        return control.copy(
            proposals = control.proposals.copy(appended = control.proposals.appended.remove(entry.index)),
            inbox = control.inbox + CommandAnswered(appended.pending, answer),
        )
    }

    private fun restoreSnapshot(control: ControlTables, snapshot: CommittedSnapshotReceived): ControlTables {
        val fleet = codec.readTables(snapshot.payload)
        val delta = deltaBetween(control.fleet.configuration, fleet.configuration)
        val change = FleetTablesChanged(fleet.budgets.keys, delta)
        return control.copy(
            fleet = fleet,
            appliedIndex = snapshot.index,
            inbox = control.inbox + change + ConsensusLogCompacted,
        )
    }
}
