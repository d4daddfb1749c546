/**
 * Refreshes the leader's view of all routers.
 */
package org.ibismoor.coordination.internal

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.toPersistentHashMap
import org.ibismoor.coordination.api.CoordinationMessage
import org.ibismoor.coordination.api.CoordinationSettings
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.DemandRow
import org.ibismoor.coordination.api.FleetView
import org.ibismoor.coordination.api.RouterRow
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp

/** A quarter of the interval at which each router reports. */
private const val REFRESH_INTERVAL_MILLIS = 100L

internal class FleetViewSystem(private val settings: CoordinationSettings) : CoordinationSystem {
    override fun run(tables: CoordinationTables, tick: Tick<CoordinationMessage>): CoordinationStep =
        when {
            tables.leadingSince == null -> CoordinationStep(tables.withoutView())
            isViewDue(tables, tick.now) -> CoordinationStep(tables.copy(view = fleetView(tables, settings, tick.now)))
            else -> CoordinationStep(tables)
        }
}

private fun CoordinationTables.withoutView() = if (view == null) this else copy(view = null)

internal fun isViewDue(tables: CoordinationTables, now: Timestamp): Boolean =
    tables.view?.let { now - it.at >= REFRESH_INTERVAL_MILLIS } ?: true

internal fun fleetView(tables: CoordinationTables, settings: CoordinationSettings, now: Timestamp): FleetView {
    val callers = callerRouters(tables, settings).map { it.entry }
    val demands = demands(tables.routers.values)
    val weights = advanceWeights(tables.routers.values, demands, DemandShares(tables, settings, callers))
    return FleetView(now, callers, demands, weights)
}

private fun advanceWeights(
    routers: Collection<RouterRow>,
    demands: Map<OrganisationId, DemandRow>,
    shares: DemandShares,
): PersistentMap<OrganisationId, Double> {
    val sums = HashMap<OrganisationId, Double>()
    routers.forEach { router ->
        router.usage.values.forEach { usage ->
            val weight = shares.weight(router, usage.sustainedDemandPerSecond, demands[usage.organisation])
            sums.merge(usage.organisation, weight, Double::plus)
        }
    }
    return sums.toPersistentHashMap()
}

private fun demands(routers: Collection<RouterRow>): PersistentMap<OrganisationId, DemandRow> {
    val rows = HashMap<OrganisationId, DemandRow>()
    routers.forEach { router ->
        router.usage.values.forEach { usage ->
            val own = DemandRow(usage.demandPerSecond, usage.demandPerSecond, router.session)
            rows.merge(usage.organisation, own, ::sumOf)
        }
    }
    return rows.toPersistentHashMap()
}

private fun sumOf(one: DemandRow, other: DemandRow): DemandRow {
    val higher = if (one.highest >= other.highest) one else other
    return higher.copy(total = one.total + other.total)
}
