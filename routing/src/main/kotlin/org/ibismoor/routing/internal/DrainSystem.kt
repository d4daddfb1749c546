/**
 * Starts a drain on request and reports when no streams and no abandoned reservations are left.
 */
package org.ibismoor.routing.internal

import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.routing.api.DrainFinished
import org.ibismoor.routing.api.DrainRequested
import org.ibismoor.routing.api.DrainRow
import org.ibismoor.routing.api.RoutingMessage
import org.ibismoor.routing.api.RoutingSettings
import org.ibismoor.routing.api.RoutingTables

internal class DrainSystem(private val settings: RoutingSettings) : RoutingSystem {
    fun nextDue(tables: RoutingTables): Timestamp? =
        tables.drain?.takeIf { !it.isFinished && tables.isIdle() }?.refuseFrom

    override fun run(tables: RoutingTables, tick: Tick<RoutingMessage>): RoutingStep {
        val isRequested = tables.drain == null && DrainRequested in tick.messages
        val drain = if (isRequested) DrainRow(tick.now + settings.limits.addressCacheMillis) else tables.drain
        val isComplete = drain != null && !drain.isFinished && tick.now >= drain.refuseFrom && tables.isIdle()
        return when {
            isComplete -> tables.copy(drain = drain?.copy(isFinished = true)).step(DrainFinished)
            drain != tables.drain -> tables.copy(drain = drain).step()
            else -> tables.step()
        }
    }

    private fun RoutingTables.isIdle(): Boolean = streams.isEmpty() && abandonedReservations.isEmpty()
}
