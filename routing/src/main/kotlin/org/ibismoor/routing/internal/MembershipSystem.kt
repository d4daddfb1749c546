/**
 * Applies configurations and load reports. A router uses a limited number of upstreams of a group: those of its own
 * domain first, then the others in an order that differs between routers.
 */
package org.ibismoor.routing.internal

import kotlinx.collections.immutable.toPersistentHashMap
import kotlinx.collections.immutable.toPersistentList
import org.ibismoor.configuration.api.ConfigurationTables
import org.ibismoor.configuration.api.ModelRoute
import org.ibismoor.configuration.api.Upstream
import org.ibismoor.core.api.SeededRandom
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamGroupId
import org.ibismoor.membership.api.UpstreamReport
import org.ibismoor.pacing.api.PaceEvent
import org.ibismoor.routing.api.ConfigurationChanged
import org.ibismoor.routing.api.ReportsReceived
import org.ibismoor.routing.api.RoutingMessage
import org.ibismoor.routing.api.RoutingSettings
import org.ibismoor.routing.api.RoutingTables
import org.ibismoor.routing.api.UpstreamRow

internal class MembershipSystem(private val settings: RoutingSettings) : RoutingSystem {
    override fun run(tables: RoutingTables, tick: Tick<RoutingMessage>): RoutingStep =
        tables.foldSteps(tick.messages) { t, message ->
            when (message) {
                is ConfigurationChanged -> applyConfiguration(t, message.configuration).step()
                is ReportsReceived -> message.reports.fold(t) { s, report -> applyReport(s, report, tick.now) }.step()
                else -> t.step()
            }
        }

    private fun applyConfiguration(tables: RoutingTables, next: ConfigurationTables): RoutingTables {
        val before = tables.configuration
        if (next.number < before.number) return tables
        val withRoutes = if (next.routes === before.routes) tables else tables.copy(routesByModel = routesByModel(next))
        val isUnchanged = next.upstreams === before.upstreams
        val withMembers = if (isUnchanged) withRoutes else withUpstreams(withRoutes, next.upstreams.values)
        return withMembers.copy(configuration = next)
    }

    private fun routesByModel(configuration: ConfigurationTables) =
        configuration.routes.values.filterIsInstance<ModelRoute>().associate { it.model to it.id }.toPersistentHashMap()

    private fun withUpstreams(tables: RoutingTables, upstreams: Collection<Upstream>): RoutingTables {
        val byId = upstreams.associateBy { it.id }
        val removed = tables.upstreams.values.filter { it.upstream.id !in byId && !it.isRemoved }
        val changed = upstreams.filter { tables.upstreams[it.id]?.takeIf { row -> !row.isRemoved }?.upstream != it }
        val affectedGroups = (removed.map { it.upstream } + changed).map { it.group } +
            changed.mapNotNull { tables.upstreams[it.id]?.upstream?.group }
        val withoutRemoved = removed.fold(tables) { t, row -> t.withoutUpstream(row) }
        val withChanged = changed.fold(withoutRemoved) { t, upstream -> t.withUpstream(upstream) }
        val members = upstreams.groupBy { it.group }
        return affectedGroups.distinct()
            .fold(withChanged) { t, group -> withMembers(t, group, members[group].orEmpty()) }
    }

    private fun withMembers(tables: RoutingTables, id: UpstreamGroupId, all: List<Upstream>): RoutingTables {
        val session = tables.session.text.hashCode().toLong()
        val order = compareBy<Upstream>({ it.domain != settings.ownDomain }, { routerRank(it, session) }, { it.id })
        val members = all.sortedWith(order).take(settings.limits.upstreamsPerGroup).map { it.id }
        return tables.withGroup(id, tables.group(id).copy(members = members.toPersistentList())).updateUsable(id)
    }

    private fun routerRank(upstream: Upstream, session: Long): Long =
        SeededRandom(session xor upstream.id.text.hashCode().toLong()).below(Long.MAX_VALUE)

    private fun applyReport(tables: RoutingTables, report: UpstreamReport, now: Timestamp): RoutingTables {
        val row = tables.upstreams[report.upstream] ?: return tables
        val updated = row.withReport(report, now)
        val isBack = row.isLeaving && !report.isLeaving && report.startId != row.leavingStartId
        val next = when {
            report.isLeaving -> updated.copy(isLeaving = true, leavingStartId = report.startId)
            isBack -> updated.copy(isLeaving = false, leavingStartId = null)
                .withPace(PaceEvent.Returned(coldMillis = 0), now)
            else -> updated
        }
        return tables.withUpstream(next)
    }
}

private fun RoutingTables.withUpstream(upstream: Upstream): RoutingTables {
    val row = upstreams[upstream.id]?.copy(upstream = upstream, isRemoved = false) ?: UpstreamRow(upstream)
    return copy(upstreams = upstreams.put(upstream.id, row))
}

private fun RoutingTables.withoutUpstream(row: UpstreamRow): RoutingTables {
    val id = row.upstream.id
    val isIdle = row.inFlight == 0
    return copy(upstreams = if (isIdle) upstreams.remove(id) else upstreams.put(id, row.copy(isRemoved = true)))
}
