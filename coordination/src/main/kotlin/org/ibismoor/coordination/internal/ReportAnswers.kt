/**
 * The leader's answer to a report: a newer configuration and upstream list, the routers for callers, and the
 * allowances.
 */
package org.ibismoor.coordination.internal

import org.ibismoor.coordination.api.CoordinationSettings
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.FleetView
import org.ibismoor.coordination.api.ReportAnswer
import org.ibismoor.coordination.api.RouterReport

internal fun reportAnswer(
    tables: CoordinationTables,
    report: RouterReport,
    settings: CoordinationSettings,
): ReportAnswer = ReportAnswers(tables, settings).answer(report)

/** Answers reports of one tick on the same [tables]. */
internal class ReportAnswers(private val tables: CoordinationTables, private val settings: CoordinationSettings) {
    private val allowances by lazy { AllowanceUpdates(tables, settings) }
    private val requests = RequestQuarantineAnswers(tables)
    private val streams = StreamAnswers(tables.state.streams)

    fun answer(report: RouterReport): ReportAnswer {
        val configuration = tables.state.configuration
        val version = configuration?.version ?: 0
        val isNewer = version > report.configurationVersion
        return ReportAnswer(
            isLeading = true,
            leader = tables.replica,
            replicas = tables.replicas(),
            configurationVersion = version,
            configuration = configuration?.takeIf { isNewer && !report.isFetchingConfigurations },
            upstreams = tables.upstreams?.takeIf { it.revision > report.upstreamRevision },
            routers = listedRouters(tables, settings),
            allowances = allowances.updatesFor(report),
            prompts = tables.quarantineUpdate(report),
            requests = requests.updateFor(report),
            streams = streams.answersFor(report),
            evacuations = evacuationList(tables.state),
        )
    }
}

/** Null until router discovery is complete: an incomplete list would overload the routers on it. */
private fun listedRouters(tables: CoordinationTables, settings: CoordinationSettings) =
    tables.currentView(settings).callers.takeIf { tables.isRouterDiscoveryComplete(settings) }

/** The view of this tick, also for tables on which no system has run. */
internal fun CoordinationTables.currentView(settings: CoordinationSettings): FleetView =
    view ?: fleetView(this, settings, consensus.now)

/** False at a new leader, which may not have received a report of each router yet. */
internal fun CoordinationTables.isRouterDiscoveryComplete(settings: CoordinationSettings): Boolean {
    val since = leadingSince
    return since != null && consensus.now - since >= settings.routerDiscoveryMillis
}
