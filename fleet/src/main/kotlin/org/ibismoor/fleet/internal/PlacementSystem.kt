/**
 * Notes where the leader appended its commands. It runs before entries are applied, since a group of one member commits
 * an entry in the tick that appends it, and the result would find nobody who waits for it.
 */
package org.ibismoor.fleet.internal

import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickSystem
import org.ibismoor.fleet.api.AppendedCommand
import org.ibismoor.fleet.api.ControlEffect
import org.ibismoor.fleet.api.ControlMessage
import org.ibismoor.fleet.api.ControlTables

internal class PlacementSystem : TickSystem<ControlTables, ControlMessage, ControlEffect> {
    override fun run(tables: ControlTables, tick: Tick<ControlMessage>): ControlStep =
        ControlStep(tick.messages.filterIsInstance<ProposalPlaced>().fold(tables, ::placed))

    private fun placed(control: ControlTables, message: ProposalPlaced): ControlTables {
        val proposals = control.proposals
        val pending = proposals.proposed[message.proposal] ?: return control
        return control.copy(
            proposals = proposals.copy(
                proposed = proposals.proposed.remove(message.proposal),
                appended = proposals.appended.put(message.index, AppendedCommand(pending, message.term)),
            ),
        )
    }
}
