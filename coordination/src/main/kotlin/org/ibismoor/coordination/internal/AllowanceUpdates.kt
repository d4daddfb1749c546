/**
 * What the leader tells a router of its allowances. Whether the router may hold tokens ahead of its demand depends on
 * what a cut would take from it. A router on the VM of a replica stays with control, so only organisations whose
 * callers stay at that one router lack tokens when it is cut off alone.
 */
package org.ibismoor.coordination.internal

import org.ibismoor.coordination.api.AllowanceUpdate
import org.ibismoor.coordination.api.AllowanceUsage
import org.ibismoor.coordination.api.BudgetRow
import org.ibismoor.coordination.api.CoordinationSettings
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.RouterReport
import org.ibismoor.core.api.OrganisationId

private const val PERCENT = 100

internal class AllowanceUpdates(
    private val tables: CoordinationTables,
    private val report: RouterReport,
    private val settings: CoordinationSettings,
) {
    private val routers = tables.routers.values
    private val callers = callerRouters(tables, settings)
    private val isCalled = callers.any { it.entry.address == report.entry.address }
    private val isNear = tables.routers[report.router]?.let(tables::isNear) ?: false

    fun all(): List<AllowanceUpdate> = report.usage.map(::grant)

    private fun grant(usage: AllowanceUsage): AllowanceUpdate {
        val organisation = usage.organisation
        val row = tables.state.budgets[organisation] ?: BudgetRow()
        val total = tables.state.configuration?.budgets?.get(organisation) ?: 0
        val unissued = total - row.outstanding
        val demand = routers.sumOf { it.usage[organisation]?.demandPerSecond ?: 0.0 }
        return AllowanceUpdate(
            organisation = organisation,
            issued = row.sessions[report.session]?.issued ?: 0,
            unissued = unissued,
            unspent = total - row.ended - settledByLive(row, organisation),
            evenDemandPerSecond = if (isCalled) demand / callers.size else 0.0,
            horizonMillis = when {
                unissued < 0 -> 0
                isNear && !isHome(usage, demand) -> settings.nearHorizonMillis
                isShort(row, usage, total) -> settings.shortHorizonMillis
                else -> settings.ampleHorizonMillis
            },
        )
    }

    /** True if nearly all requests of the organisation come to this router, of [demand] at all routers. */
    private fun isHome(usage: AllowanceUsage, demand: Double): Boolean =
        tables.knowsRouters(settings) && usage.demandPerSecond * PERCENT > demand * settings.homeDemandPercent

    /**
     * What the router itself holds counts as left: otherwise holding it would make the budget short, and returning it
     * ample again.
     */
    private fun isShort(row: BudgetRow, usage: AllowanceUsage, total: Long): Boolean {
        val heldAhead = (row.sessions[report.session]?.held ?: 0) - usage.settled
        return (total - row.outstanding + heldAhead) * PERCENT < total * settings.shortBudgetPercent
    }

    /** Tokens that running sessions have spent, by the log or by a later report. */
    private fun settledByLive(row: BudgetRow, organisation: OrganisationId): Long {
        val reported = routers.associate { it.session to (it.usage[organisation]?.settled ?: 0) }
        return row.sessions.entries.sumOf { (session, allowance) -> maxOf(allowance.settled, reported[session] ?: 0) }
    }
}
