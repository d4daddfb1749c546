/**
 * The leader's answer to a report: whatever the router does not hold yet, and its allowances.
 */
package org.ibismoor.coordination.internal

import org.ibismoor.coordination.api.CoordinationSettings
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.ReportAnswer
import org.ibismoor.coordination.api.RouterReport

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
        allowances = AllowanceUpdates(tables, report, settings).all(),
    )
}

/** A short list would overload the routers on it. */
private fun listedRouters(tables: CoordinationTables, settings: CoordinationSettings) =
    callerRouters(tables, settings).map { it.entry }.takeIf { tables.knowsRouters(settings) }

/** False at a leader that has just begun, to which not all routers have reported. */
internal fun CoordinationTables.knowsRouters(settings: CoordinationSettings): Boolean {
    val since = leadingSince
    return since != null && consensus.now - since >= settings.routerDiscoveryMillis
}
