/**
 * Divides among the routers what all of them together may hold of a budget in advance. A limit at each router alone
 * does not bound the sum, which grows with the number of routers.
 */
package org.ibismoor.coordination.internal

import org.ibismoor.coordination.api.CoordinationSettings
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.DemandRow
import org.ibismoor.coordination.api.RouterEntry
import org.ibismoor.coordination.api.RouterRow
import org.ibismoor.core.api.SessionId

private const val PERCENT = 100

/** Demand in tokens per second with which each listed router counts, so that they divide an idle budget evenly. */
private const val IDLE_DEMAND_PER_SECOND = 1.0

internal class DemandShares(
    private val tables: CoordinationTables,
    private val settings: CoordinationSettings,
    callers: List<RouterEntry>,
) {
    /** Callers placed by room use a router in proportion to its room, and others use all routers alike. */
    private val callerParts = callers.associate { it.address to (it.room ?: 1).toDouble() }
    private val totalParts = callerParts.values.sum()

    /** True if [demand] arrives at the router of [session] nearly alone, whose callers then stay there. */
    fun hasPersistentCallers(session: SessionId, demand: DemandRow?): Boolean =
        demand != null && isConcentrated(demand) && demand.highestSession == session

    /** Callers may move to this router from the others, unless they have stayed at one of these. */
    fun evenDemand(entry: RouterEntry, session: SessionId, demand: DemandRow?): Double {
        val part = callerParts[entry.address]
        val isExpected = demand != null && part != null &&
            (demand.highestSession == session || !isConcentrated(demand))
        return if (isExpected) demand.total * part / totalParts else 0.0
    }

    /** The demand by which [router] takes part in the division; 0 for one that holds nothing in advance. */
    fun weight(router: RouterRow, ownDemand: Double, demand: DemandRow?): Double {
        val isHolding = !tables.isColocated(router) || hasPersistentCallers(router.session, demand)
        val idleDemand = if (router.entry.address in callerParts) IDLE_DEMAND_PER_SECOND else 0.0
        val expectedDemand = maxOf(ownDemand, evenDemand(router.entry, router.session, demand))
        return if (isHolding) expectedDemand + idleDemand else 0.0
    }

    private fun isConcentrated(demand: DemandRow): Boolean =
        tables.isRouterDiscoveryComplete(settings) &&
            demand.highest * PERCENT > demand.total * settings.persistentCallersPercent
}
