/**
 * Tells the share allocator which replicas the leader hears, so that it neither issues tokens to a replica that is
 * cut off nor asks it to return any.
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

/** Two election timeouts: a replica that is silent for longer is not merely slow. */
private const val SILENCE_MILLIS = 2_400L
private const val CHECK_MILLIS = 500L

internal class ReachabilitySystem : TickSystem<ControlTables, ControlMessage, ControlEffect> {
    override fun run(tables: ControlTables, tick: Tick<ControlMessage>): ControlStep {
        val row = tables.reachability
        val heard = tick.messages.filterIsInstance<ConsensusReceived>()
            .fold(row.heardAt) { table, message -> table.put(message.from, tick.now) }
        val noted = tables.copy(reachability = row.copy(heardAt = heard))
        val checkAt = row.checkAt
        return when {
            !tables.isLeading -> ControlStep(noted.copy(reachability = ReachabilityTables(heardAt = heard)))
            checkAt == null || checkAt <= tick.now -> ControlStep(check(noted, tick.now))
            else -> ControlStep(noted)
        }
    }

    fun nextDue(tables: ControlTables): Timestamp? = tables.reachability.checkAt

    private fun check(tables: ControlTables, now: Timestamp): ControlTables {
        val row = tables.reachability
        val reachable = row.heardAt.filterValues { now - it <= SILENCE_MILLIS }.keys + tables.replica
        val next = tables.copy(reachability = row.copy(reachable = reachable, checkAt = now + CHECK_MILLIS))
        return if (reachable == row.reachable) next else next.copy(inbox = next.inbox + ReachableMoved(reachable))
    }
}
