/**
 * Reports to the share allocator which replicas the leader has contact with, so that it neither issues tokens to an
 * unreachable replica nor reclaims any from it.
 */
package org.ibismoor.fleet.internal

import kotlinx.collections.immutable.plus
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickSystem
import org.ibismoor.core.api.Timestamp
import org.ibismoor.fleet.api.ConsensusReceived
import org.ibismoor.fleet.api.ControlEffect
import org.ibismoor.fleet.api.ControlMessage
import org.ibismoor.fleet.api.ControlTables
import org.ibismoor.fleet.api.ReachabilityTables

/** Two election timeouts: a replica without contact for longer is not merely slow. */
private const val CONTACT_TIMEOUT_MILLIS = 2_400L
private const val CHECK_INTERVAL_MILLIS = 500L

internal class ReachabilitySystem : TickSystem<ControlTables, ControlMessage, ControlEffect> {
    override fun run(tables: ControlTables, tick: Tick<ControlMessage>): ControlStep {
        val row = tables.reachability
        val lastContactAt = tick.messages.filterIsInstance<ConsensusReceived>()
            .fold(row.lastContactAt) { table, message -> table.put(message.from, tick.now) }
        val updated = tables.copy(reachability = row.copy(lastContactAt = lastContactAt))
        val checkAt = row.checkAt
        return when {
            !tables.isLeading -> ControlStep(updated.copy(reachability = ReachabilityTables(lastContactAt)))
            checkAt == null || checkAt <= tick.now -> ControlStep(check(updated, tick.now))
            else -> ControlStep(updated)
        }
    }

    fun nextDue(tables: ControlTables): Timestamp? = tables.reachability.checkAt

    private fun check(tables: ControlTables, now: Timestamp): ControlTables {
        val row = tables.reachability
        val reachable = row.lastContactAt.filterValues { now - it <= CONTACT_TIMEOUT_MILLIS }.keys + tables.replica
        val next = tables.copy(reachability = row.copy(reachable = reachable, checkAt = now + CHECK_INTERVAL_MILLIS))
        return when (reachable) {
            row.reachable -> next
            else -> next.copy(inbox = next.inbox + ReachableReplicasChanged(reachable))
        }
    }
}
