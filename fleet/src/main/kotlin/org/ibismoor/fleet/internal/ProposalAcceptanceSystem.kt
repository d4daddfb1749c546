/**
 * Records the log index of each command that the leader appended. It runs before entries are applied: a group of one
 * member commits an entry in the tick that appends it, and without the index the result would reach no origin.
 */
package org.ibismoor.fleet.internal

import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickSystem
import org.ibismoor.fleet.api.AppendedCommand
import org.ibismoor.fleet.api.ControlEffect
import org.ibismoor.fleet.api.ControlMessage
import org.ibismoor.fleet.api.ControlTables

internal class ProposalAcceptanceSystem : TickSystem<ControlTables, ControlMessage, ControlEffect> {
    override fun run(tables: ControlTables, tick: Tick<ControlMessage>): ControlStep =
        ControlStep(tick.messages.filterIsInstance<ProposalAccepted>().fold(tables, ::recordAppended))

    private fun recordAppended(control: ControlTables, message: ProposalAccepted): ControlTables {
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
