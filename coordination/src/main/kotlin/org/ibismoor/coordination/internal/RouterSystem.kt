/**
 * Keeps the list of routers for callers at the leader. A silent router is taken off the list, unless at least half of
 * all routers are silent: then the link between routers and control is more likely cut than the routers dead, and
 * callers still reach them. A silent router on the VM of a replica is always taken off.
 */
package org.ibismoor.coordination.internal

import org.ibismoor.coordination.api.CoordinationMessage
import org.ibismoor.coordination.api.CoordinationSettings
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.ReportReceived
import org.ibismoor.coordination.api.NotifyRouterListChange
import org.ibismoor.coordination.api.RouterReport
import org.ibismoor.coordination.api.RouterRow
import org.ibismoor.coordination.api.RouterState
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp

private const val CHECK_MILLIS = 500L

internal class RouterSystem(private val settings: CoordinationSettings) : CoordinationSystem {
    override fun run(tables: CoordinationTables, tick: Tick<CoordinationMessage>): CoordinationStep {
        if (tables.leadingSince == null) return CoordinationStep(tables)
        val reports = tick.messages.filterIsInstance<ReportReceived>().map { it.report }
        val heard = reports.fold(tables) { table, report -> hear(table, report, tick.now) }
        return list(heard, tick.now)
    }

    fun nextDue(tables: CoordinationTables): Timestamp? =
        tables.leadingSince?.let { tables.consensus.now + CHECK_MILLIS }

    private fun hear(tables: CoordinationTables, report: RouterReport, now: Timestamp): CoordinationTables {
        val isListed = tables.routers[report.router]?.isListed ?: false
        val row = RouterRow(
            entry = report.entry,
            state = report.state,
            heardAt = now,
            isListed = isListed,
            requestsPerSecond = report.requestsPerSecond,
            session = report.session,
            usage = report.usage.associateBy { it.organisation },
        )
        return tables.copy(routers = tables.routers.put(report.router, row))
    }

    private fun list(tables: CoordinationTables, now: Timestamp): CoordinationStep {
        val silent = tables.routers.values.count { now - it.heardAt > settings.silentRouterMillis }
        val isCut = silent * 2 >= tables.routers.size
        return foldSteps(tables, tables.routers.entries.toList()) { table, (router, row) ->
            val silence = now - row.heardAt
            val isHeard = if (tables.isNear(row)) {
                silence <= settings.nearRouterMillis
            } else {
                silence <= settings.silentRouterMillis || isCut
            }
            val isListed = row.state == RouterState.READY && isHeard
            when {
                silence > settings.forgottenRouterMillis ->
                    CoordinationStep(table.copy(routers = table.routers.remove(router)))
                isListed == row.isListed -> CoordinationStep(table)
                else -> CoordinationStep(
                    table.copy(routers = table.routers.put(router, row.copy(isListed = isListed))),
                    listOf(NotifyRouterListChange(router, isListed, causeOf(row, isHeard))),
                )
            }
        }
    }

    private fun causeOf(row: RouterRow, isHeard: Boolean): String =
        if (isHeard) "state_" + row.state.name.lowercase() else "silent"
}
