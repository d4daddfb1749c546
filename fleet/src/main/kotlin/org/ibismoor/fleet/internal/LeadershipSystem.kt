/**
 * Detects that this replica became the leader or lost the leadership.
 */
package org.ibismoor.fleet.internal

import kotlinx.collections.immutable.plus
import org.ibismoor.consensus.api.status
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickSystem
import org.ibismoor.fleet.api.ControlEffect
import org.ibismoor.fleet.api.ControlMessage
import org.ibismoor.fleet.api.ControlTables

internal class LeadershipSystem : TickSystem<ControlTables, ControlMessage, ControlEffect> {
    override fun run(tables: ControlTables, tick: Tick<ControlMessage>): ControlStep {
        val isLeading = tables.consensus.status().leader == tables.replica
        if (isLeading == tables.isLeading) return ControlStep(tables)
        return ControlStep(
            tables.copy(isLeading = isLeading, inbox = tables.inbox + LeaderRoleChanged(isLeading)),
        )
    }
}
