/**
 * Computes the allowances in the leader's answer to a report. Whether a router may hold tokens in advance depends on
 * the effect of a network partition. A colocated router stays with the control process on its VM, so only organisations
 * with persistent callers at it lack tokens when that VM alone is cut off. A loss of power of all VMs strands what
 * routers hold in advance, so they hold less as a budget runs out.
 */
package org.ibismoor.coordination.internal

import org.ibismoor.coordination.api.AllowanceUpdate
import org.ibismoor.coordination.api.AllowanceUsage
import org.ibismoor.coordination.api.BudgetRow
import org.ibismoor.coordination.api.CoordinationSettings
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.DemandRow
import org.ibismoor.coordination.api.RouterReport
import org.ibismoor.core.api.OrganisationId

private const val PERCENT = 100
private const val MILLIS_PER_SECOND = 1_000

internal class AllowanceUpdates(
    private val tables: CoordinationTables,
    private val report: RouterReport,
    private val settings: CoordinationSettings,
) {
    private val view = tables.currentView(settings)
    private val isCallerRouter = view.callers.any { it.address == report.entry.address }
    private val usageBySession by lazy { tables.routers.values.associate { it.session to it.usage } }
    private val isColocated = tables.routers[report.router]?.let(tables::isColocated) ?: false

    fun updates(): List<AllowanceUpdate> = report.usage.map(::updateFor)

    private fun updateFor(usage: AllowanceUsage): AllowanceUpdate {
        val organisation = usage.organisation
        val row = tables.state.budgets[organisation] ?: BudgetRow()
        val total = tables.state.configuration?.budgets?.get(organisation) ?: 0
        val unissued = total - row.outstanding
        val unspent = total - row.ended - settledByRunningSessions(row, organisation)
        val demand = view.demands[organisation]
        return AllowanceUpdate(
            organisation = organisation,
            issued = row.sessions[report.session]?.issued ?: 0,
            unissued = unissued,
            unspent = unspent,
            evenDemandPerSecond = evenDemand(demand),
            horizonMillis = if (unissued < 0) 0 else horizonMillis(unspent, demand),
        )
    }

    private fun horizonMillis(unspent: Long, demand: DemandRow?): Long =
        minOf(maximumHorizonMillis(demand), affordableHorizonMillis(unspent, demand?.total ?: 0.0))

    private fun maximumHorizonMillis(demand: DemandRow?): Long {
        val hasPersistentCallers = demand != null && isConcentrated(demand) && demand.highestSession == report.session
        val isSeparable = !isColocated || hasPersistentCallers
        return if (isSeparable) settings.defaultHorizonMillis else settings.colocatedHorizonMillis
    }

    /** Callers may move here from the other routers, unless they have stayed at one of these. */
    private fun evenDemand(demand: DemandRow?): Double {
        val isExpected = demand != null && isCallerRouter &&
            (demand.highestSession == report.session || !isConcentrated(demand))
        return if (isExpected) demand.total / view.callers.size else 0.0
    }

    /** True if nearly all of the [demand] arrives at one router, whose callers then stay there. */
    private fun isConcentrated(demand: DemandRow): Boolean =
        tables.isRouterDiscoveryComplete(settings) &&
            demand.highest * PERCENT > demand.total * settings.persistentCallersPercent

    /**
     * Time in which [demand] uses up the part of the [unspent] tokens that routers may hold in advance. Tokens that are
     * held count as unspent. Otherwise holding them would shorten the horizon and returning them would extend it again.
     */
    private fun affordableHorizonMillis(unspent: Long, demand: Double): Long {
        val millisLeft = unspent.coerceAtLeast(0) * MILLIS_PER_SECOND / demand.coerceAtLeast(1.0)
        return millisLeft.toLong() / settings.horizonDivisor
    }

    /** Tokens spent by running sessions according to the log or to a more recent report. */
    private fun settledByRunningSessions(row: BudgetRow, organisation: OrganisationId): Long =
        row.sessions.entries.sumOf { (session, allowance) ->
            maxOf(allowance.settled, usageBySession[session]?.get(organisation)?.settled ?: 0)
        }
}
