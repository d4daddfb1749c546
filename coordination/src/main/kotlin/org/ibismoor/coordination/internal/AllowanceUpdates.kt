/**
 * Computes the allowances in the leader's answer to a report. Whether a router may hold tokens in advance depends on
 * the effect of a network partition. A colocated router stays with the control process on its VM, so only organisations
 * with persistent callers at it lack tokens when that VM alone is cut off. A loss of power of all VMs strands what
 * routers hold in advance, so together they hold at most a fixed part of what is left, and less as a budget runs out.
 */
package org.ibismoor.coordination.internal

import org.ibismoor.coordination.api.AllowanceUpdate
import org.ibismoor.coordination.api.AllowanceUsage
import org.ibismoor.coordination.api.BudgetRow
import org.ibismoor.coordination.api.CoordinationSettings
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.DemandRow
import org.ibismoor.coordination.api.RouterReport
import org.ibismoor.coordination.api.RouterRow
import org.ibismoor.core.api.OrganisationId

private const val MILLIS_PER_SECOND = 1_000

/** For the reports of one tick on the same [tables]: sums over all sessions are computed once for all of them. */
internal class AllowanceUpdates(
    private val tables: CoordinationTables,
    private val settings: CoordinationSettings,
) {
    private val view = tables.currentView(settings)
    private val shares = DemandShares(tables, settings, view.callers)
    private val spending = SessionSpending(tables)
    private val remainders = HashMap<OrganisationId, Remainder>()

    /** Tokens of a budget that are not issued, and those that are not known to be spent. */
    private class Remainder(val unissued: Long, val unspent: Long)

    fun updatesFor(report: RouterReport): List<AllowanceUpdate> = report.usage.map { updateFor(report, it) }

    private fun updateFor(report: RouterReport, usage: AllowanceUsage): AllowanceUpdate {
        val organisation = usage.organisation
        val remainder = remainders.getOrPut(organisation) { remainderOf(organisation) }
        val router = tables.routers[report.router]
        val demand = view.demands[organisation]
        val horizonMillis =
            minOf(maximumHorizonMillis(router, demand), affordableHorizonMillis(remainder.unspent, demand))
        return AllowanceUpdate(
            organisation = organisation,
            issued = tables.state.budgets[organisation]?.sessions?.get(report.session)?.issued ?: 0,
            unissued = remainder.unissued,
            unspent = remainder.unspent,
            evenDemandPerSecond = shares.evenDemand(report.entry, report.session, demand),
            horizonMillis = if (remainder.unissued < 0) 0 else horizonMillis,
            advanceLimit = advanceLimit(router, usage, remainder.unspent),
        )
    }

    private fun remainderOf(organisation: OrganisationId): Remainder {
        val row = tables.state.budgets[organisation] ?: BudgetRow()
        val total = tables.state.configuration?.budgets?.get(organisation) ?: 0
        return Remainder(
            unissued = total - row.outstanding,
            unspent = total - row.ended - spending.settledTokens(row, organisation),
        )
    }

    /** This router's part of the [unspent] tokens that all routers together may hold in advance. */
    private fun advanceLimit(router: RouterRow?, usage: AllowanceUsage, unspent: Long): Long {
        val totalWeight = view.advanceWeights[usage.organisation] ?: 0.0
        val demand = view.demands[usage.organisation]
        val weight = router?.let { shares.weight(it, usage.sustainedDemandPerSecond, demand) } ?: 0.0
        val limit = unspent.coerceAtLeast(0) / settings.advanceDivisor
        return when {
            // The weights of routers that have not reported yet are missing. The limit of all routers holds meanwhile.
            !tables.isRouterDiscoveryComplete(settings) -> limit
            totalWeight > 0 -> (limit * (weight / totalWeight).coerceAtMost(1.0)).toLong()
            else -> 0
        }
    }

    private fun maximumHorizonMillis(router: RouterRow?, demand: DemandRow?): Long {
        val isHoldingNothing =
            router != null && tables.isColocated(router) && !shares.hasPersistentCallers(router.session, demand)
        return if (isHoldingNothing) settings.colocatedHorizonMillis else settings.defaultHorizonMillis
    }

    /**
     * Time in which [demand] uses up the part of the [unspent] tokens that routers may hold in advance. Tokens that are
     * held count as unspent. Otherwise holding them would shorten the horizon and returning them would extend it again.
     */
    private fun affordableHorizonMillis(unspent: Long, demand: DemandRow?): Long {
        val demandPerSecond = demand?.total ?: 0.0
        val millisLeft = unspent.coerceAtLeast(0) * MILLIS_PER_SECOND / demandPerSecond.coerceAtLeast(1.0)
        return millisLeft.toLong() / settings.horizonDivisor
    }
}
