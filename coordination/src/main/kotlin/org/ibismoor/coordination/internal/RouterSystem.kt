/**
 * Maintains the leader's list of routers for callers. A router without recent reports is removed from the list, unless
 * at least half of all routers have none: a network partition between routers and control processes is then more likely
 * than a failure of the routers, and callers can still reach them. A colocated router without recent reports is always
 * removed.
 */
package org.ibismoor.coordination.internal

import org.ibismoor.coordination.api.CoordinationMessage
import org.ibismoor.coordination.api.CoordinationSettings
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.NotifyRouterListChange
import org.ibismoor.coordination.api.ReportReceived
import org.ibismoor.coordination.api.RouterReport
import org.ibismoor.coordination.api.RouterRow
import org.ibismoor.coordination.api.RouterState
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.foldSteps

/** Longest interval between checks of report timeouts. */
private const val CHECK_INTERVAL_MILLIS = 500L

internal class RouterSystem(private val settings: CoordinationSettings) : CoordinationSystem {
    override fun run(tables: CoordinationTables, tick: Tick<CoordinationMessage>): CoordinationStep {
        if (tables.leadingSince == null) return CoordinationStep(tables)
        val reports = tick.messages.filterIsInstance<ReportReceived>().map { it.report }
        val updated = reports.fold(tables) { table, report -> recordReport(table, report, tick.now) }
        return if (isViewDue(updated, tick.now)) updateList(updated, tick.now) else CoordinationStep(updated)
    }

    fun nextDue(tables: CoordinationTables): Timestamp? =
        tables.leadingSince?.let { tables.consensus.now + CHECK_INTERVAL_MILLIS }

    private fun recordReport(tables: CoordinationTables, report: RouterReport, now: Timestamp): CoordinationTables {
        val isListed = tables.routers[report.router]?.isListed ?: false
        val row = RouterRow(
            entry = report.entry,
            state = report.state,
            lastReportAt = now,
            isListed = isListed,
            requestsPerSecond = report.requestsPerSecond,
            session = report.session,
            usage = report.usage.associateBy { it.organisation },
            isPlacementAutomatic = report.isPlacementAutomatic,
        )
        return tables.copy(routers = tables.routers.put(report.router, row))
    }

    private fun updateList(tables: CoordinationTables, now: Timestamp): CoordinationStep {
        val unreachable = tables.routers.values.count { now - it.lastReportAt > settings.routerTimeoutMillis }
        val isPartitioned = unreachable * 2 >= tables.routers.size
        return foldSteps(tables, tables.routers.entries.toList()) { table, (router, row) ->
            val age = now - row.lastReportAt
            val isReachable = if (tables.isColocated(row)) {
                age <= settings.colocatedRouterTimeoutMillis
            } else {
                age <= settings.routerTimeoutMillis || isPartitioned
            }
            val isListed = row.state == RouterState.READY && isReachable
            when {
                age > settings.routerExpiryMillis ->
                    CoordinationStep(table.copy(routers = table.routers.remove(router)))
                isListed == row.isListed -> CoordinationStep(table)
                else -> CoordinationStep(
                    table.copy(routers = table.routers.put(router, row.copy(isListed = isListed))),
                    listOf(NotifyRouterListChange(router, isListed, changeCause(row, isReachable))),
                )
            }
        }
    }

    private fun changeCause(row: RouterRow, isReachable: Boolean): String =
        if (isReachable) "state_" + row.state.name.lowercase() else "silent"
}
