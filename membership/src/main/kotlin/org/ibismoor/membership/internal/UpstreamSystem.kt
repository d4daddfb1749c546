/**
 * Keeps the reports of upstreams and which of them leave. The upstream's own signal, the platform's list and the
 * summary of the upstream's domain count alike; whichever says so first holds until the upstream has a new start
 * identifier. Since the platform's list lags, only a name that is new in it counts.
 */
package org.ibismoor.membership.internal

import kotlinx.collections.immutable.toPersistentHashSet
import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.membership.api.ConfigurationAdvanced
import org.ibismoor.membership.api.DomainSummary
import org.ibismoor.membership.api.MembershipMessage
import org.ibismoor.membership.api.MembershipTables
import org.ibismoor.membership.api.PlatformListReceived
import org.ibismoor.membership.api.SummaryReceived
import org.ibismoor.membership.api.UpstreamEntry
import org.ibismoor.membership.api.UpstreamPolled
import org.ibismoor.membership.api.UpstreamReport

internal class UpstreamSystem : MembershipSystem {
    override fun run(tables: MembershipTables, tick: Tick<MembershipMessage>): MembershipStep =
        Step(tick.messages.fold(tables) { t, message -> take(t, message, tick.now) })

    private fun take(tables: MembershipTables, message: MembershipMessage, now: Timestamp): MembershipTables =
        when (message) {
            is UpstreamPolled -> reported(tables, message.report, isOwn = true, now)
            is SummaryReceived -> summary(tables, message.summary, now)
            is PlatformListReceived -> listed(tables, message.leaving, now)
            is ConfigurationAdvanced -> configured(tables, message, now)
            else -> tables
        }

    /** Only the summary that was taken in last counts, since a late one may tell of an earlier run of an upstream. */
    private fun summary(tables: MembershipTables, summary: DomainSummary, now: Timestamp): MembershipTables {
        val last = tables.domains[summary.replica.domain]
        val isLast = last?.replica == summary.replica && last.sequence == summary.sequence
        val reports = if (isLast) summary.reports else emptyList()
        return reports.fold(tables) { t, report -> reported(t, report, isOwn = false, now) }
    }

    private fun reported(
        tables: MembershipTables,
        report: UpstreamReport,
        isOwn: Boolean,
        now: Timestamp,
    ): MembershipTables {
        val old = tables.upstreams[report.upstream]
        val isRestarted = old?.leavingStartId != null && old.leavingStartId != report.startId
        val isLeaving = report.isLeaving || (old?.isLeaving == true && !isRestarted)
        val entry = UpstreamEntry(
            report = report,
            receivedAt = now,
            isLeaving = isLeaving,
            leavingStartId = if (isLeaving) report.startId else null,
            isOwn = isOwn,
            version = tables.reportVersion + 1,
        )
        return put(tables, report, entry)
    }

    private fun put(tables: MembershipTables, report: UpstreamReport, entry: UpstreamEntry): MembershipTables =
        tables.copy(
            upstreams = tables.upstreams.put(report.upstream, entry),
            reportVersion = entry.version,
        )

    private fun listed(tables: MembershipTables, leaving: Set<String>, now: Timestamp): MembershipTables {
        val added = leaving - tables.leavingNames
        val next = tables.copy(leavingNames = leaving.toPersistentHashSet())
        return if (added.isEmpty()) next else marked(next, added, now)
    }

    /** An upstream that is declared after the platform listed it leaves too. */
    private fun configured(
        tables: MembershipTables,
        message: ConfigurationAdvanced,
        now: Timestamp,
    ): MembershipTables {
        val delta = message.delta.upstreams
        val kept = delta.removed.fold(tables) { t, id -> t.copy(upstreams = t.upstreams.remove(id)) }
        val added = delta.changed.values.filter { it.id !in tables.upstreams }
        val names = added.flatMap { listOf(it.id.text, it.baseUrl) }.filter { it in tables.leavingNames }
        return if (names.isEmpty()) kept else marked(kept, names.toSet(), now)
    }

    private fun marked(tables: MembershipTables, names: Set<String>, now: Timestamp): MembershipTables =
        tables.configuration.upstreams.values
            .filter { it.id.text in names || it.baseUrl in names }
            .fold(tables) { t, upstream ->
                val old = t.upstreams[upstream.id]
                val report = old?.report ?: UpstreamReport(upstream.id, 0, 0, isLeaving = true, startId = "", 0)
                val entry = UpstreamEntry(
                    report = old?.report,
                    receivedAt = old?.receivedAt ?: now,
                    isLeaving = true,
                    leavingStartId = old?.report?.startId,
                    isOwn = old?.isOwn == true,
                    version = t.reportVersion + 1,
                )
                put(t, report, entry)
            }
}
