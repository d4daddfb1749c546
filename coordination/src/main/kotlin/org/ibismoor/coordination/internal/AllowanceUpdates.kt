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

private const val MILLIS_PER_SECOND = 1_000

internal class AllowanceUpdates(
    private val tables: CoordinationTables,
    private val report: RouterReport,
    private val settings: CoordinationSettings,
) {
    private val view = tables.currentView(settings)
    private val shares = DemandShares(tables, settings, view.callers)
    private val spending = SessionSpending(tables)
    private val router = tables.routers[report.router]
    private val isColocated = router?.let(tables::isColocated) ?: false

    fun updates(): List<AllowanceUpdate> = report.usage.map(::updateFor)

    private fun updateFor(usage: AllowanceUsage): AllowanceUpdate {
        val organisation = usage.organisation
        val row = tables.state.budgets[organisation] ?: BudgetRow()
        val total = tables.state.configuration?.budgets?.get(organisation) ?: 0
        val unissued = total - row.outstanding
        val unspent = total - row.ended - spending.settledTokens(row, organisation)
        val demand = view.demands[organisation]
        return AllowanceUpdate(
            organisation = organisation,
            issued = row.sessions[report.session]?.issued ?: 0,
            unissued = unissued,
            unspent = unspent,
            evenDemandPerSecond = shares.evenDemand(report.entry, report.session, demand),
            horizonMillis = if (unissued < 0) 0 else horizonMillis(unspent, demand),
            advanceLimit = advanceLimit(usage, unspent, demand),
        )
    }

    /** This router's part of the [unspent] tokens that all routers together may hold in advance. */
    private fun advanceLimit(usage: AllowanceUsage, unspent: Long, demand: DemandRow?): Long {
        val totalWeight = view.advanceWeights[usage.organisation] ?: 0.0
        val weight = router?.let { shares.weight(it, usage.sustainedDemandPerSecond, demand) } ?: 0.0
        val limit = unspent.coerceAtLeast(0) / settings.advanceDivisor
        return when {
            // The weights of routers that have not reported yet are missing. The limit of all routers holds meanwhile.
            !tables.isRouterDiscoveryComplete(settings) -> limit
            totalWeight > 0 -> (limit * (weight / totalWeight).coerceAtMost(1.0)).toLong()
            else -> 0
        }
    }

    private fun horizonMillis(unspent: Long, demand: DemandRow?): Long =
        minOf(maximumHorizonMillis(demand), affordableHorizonMillis(unspent, demand?.total ?: 0.0))

    private fun maximumHorizonMillis(demand: DemandRow?): Long {
        val isSeparable = !isColocated || shares.hasPersistentCallers(report.session, demand)
        return if (isSeparable) settings.defaultHorizonMillis else settings.colocatedHorizonMillis
    }

    /**
     * Time in which [demand] uses up the part of the [unspent] tokens that routers may hold in advance. Tokens that are
     * held count as unspent. Otherwise holding them would shorten the horizon and returning them would extend it again.
     */
    private fun affordableHorizonMillis(unspent: Long, demand: Double): Long {
        val millisLeft = unspent.coerceAtLeast(0) * MILLIS_PER_SECOND / demand.coerceAtLeast(1.0)
        return millisLeft.toLong() / settings.horizonDivisor
    }
}
