/**
 * The leader's answer to a report: whatever the router does not hold yet, and its allowances.
 */
package org.ibismoor.coordination.internal

import org.ibismoor.coordination.api.AllowanceGrant
import org.ibismoor.coordination.api.BudgetRow
import org.ibismoor.coordination.api.CoordinationSettings
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.ReportAnswer
import org.ibismoor.coordination.api.RouterReport
import org.ibismoor.core.api.OrganisationId

private const val PERCENT = 100

internal fun answerTo(
    tables: CoordinationTables,
    report: RouterReport,
    settings: CoordinationSettings,
): ReportAnswer {
    val configuration = tables.state.configuration
    val version = configuration?.version ?: 0
    return ReportAnswer(
        isLeading = true,
        leader = tables.replica,
        replicas = tables.replicas(),
        configurationVersion = version,
        configuration = configuration?.takeIf { version > report.configurationVersion },
        upstreams = tables.upstreams?.takeIf { it.revision > report.upstreamRevision },
        routers = listedRouters(tables, settings),
        allowances = report.usage.map { grant(tables, report, it.organisation, settings) },
    )
}

/** A leader that has just begun does not know all routers, and a short list would overload those on it. */
private fun listedRouters(tables: CoordinationTables, settings: CoordinationSettings) =
    callerRouters(tables, settings).map { it.entry }.takeIf {
        val since = tables.leadingSince
        since != null && tables.consensus.now - since >= settings.routerDiscoveryMillis
    }

private fun grant(
    tables: CoordinationTables,
    report: RouterReport,
    organisation: OrganisationId,
    settings: CoordinationSettings,
): AllowanceGrant {
    val row = tables.state.budgets[organisation] ?: BudgetRow()
    val total = tables.state.configuration?.budgets?.get(organisation) ?: 0
    val unissued = total - row.outstanding
    val isNear = tables.routers[report.router]?.let(tables::isNear) ?: false
    val usage = tables.routers.values.mapNotNull { it.usage[organisation] }
    val demand = usage.sumOf { it.demandPerSecond }
    val own = report.usage.firstOrNull { it.organisation == organisation }
    val isHome = (own?.demandPerSecond ?: 0.0) * PERCENT > demand * settings.homeDemandPercent
    // What the router itself holds counts as left: otherwise holding it would make the budget short, and returning it
    // ample again.
    val heldAhead = (row.sessions[report.session]?.held ?: 0) - (own?.settled ?: 0)
    val isShort = (unissued + heldAhead) * PERCENT < total * settings.shortBudgetPercent
    val horizon = when {
        unissued < 0 -> 0
        isNear && !isHome -> settings.nearHorizonMillis
        isShort -> settings.shortHorizonMillis
        else -> settings.ampleHorizonMillis
    }
    val callers = callerRouters(tables, settings)
    val isCalled = callers.any { it.entry.address == report.entry.address }
    return AllowanceGrant(
        organisation = organisation,
        issued = row.sessions[report.session]?.issued ?: 0,
        unissued = unissued,
        unspent = total - row.ended - settledByLive(tables, row, organisation),
        evenDemandPerSecond = if (isCalled) demand / callers.size else 0.0,
        horizonMillis = horizon,
    )
}

/** Tokens that running sessions have spent, by the log or by a later report. */
private fun settledByLive(tables: CoordinationTables, row: BudgetRow, organisation: OrganisationId): Long {
    val reported = tables.routers.values.associate { it.session to (it.usage[organisation]?.settled ?: 0) }
    return row.sessions.entries.sumOf { (session, allowance) -> maxOf(allowance.settled, reported[session] ?: 0) }
}
