/**
 * Requests the membership change from the current control replicas to the declared ones. Only the leader acts. A
 * declared replica with a later epoch replaces the earlier one of its domain, whose shares are written off.
 */
package org.ibismoor.fleet.internal

import kotlinx.collections.immutable.plus
import org.ibismoor.consensus.api.status
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickSystem
import org.ibismoor.fleet.api.AllocatorOrigin
import org.ibismoor.fleet.api.ControlEffect
import org.ibismoor.fleet.api.ControlMessage
import org.ibismoor.fleet.api.ControlTables
import org.ibismoor.fleet.api.PendingCommand
import org.ibismoor.ledger.api.ReplaceReplica

internal class MemberSystem : TickSystem<ControlTables, ControlMessage, ControlEffect> {
    override fun run(tables: ControlTables, tick: Tick<ControlMessage>): ControlStep {
        val isDue = tick.messages.any { it is LeaderRoleChanged || it is FleetTablesChanged && it.delta != null }
        val declared = tables.fleet.configuration.controlMembers.keys
        if (!isDue || !tables.isLeading || declared.isEmpty()) return ControlStep(tables)
        val messages = replaceCommands(tables, declared) + MembershipChangeRequested(declared.sorted())
        return ControlStep(tables.copy(inbox = tables.inbox + messages))
    }

    /** Replacing the same replica twice has no further effect, so a new leader may repeat it. */
    private fun replaceCommands(tables: ControlTables, declared: Set<ReplicaId>): List<ControlMessage> {
        val replicas = tables.fleet.mergedSequences.keys + tables.consensus.status().members.map { it.replica }
        return declared.flatMap { new ->
            replicas.filter { it.domain == new.domain && it.epoch < new.epoch }
                .map { CommandSubmitted(PendingCommand(AllocatorOrigin, ReplaceReplica(it, new))) }
        }
    }
}
