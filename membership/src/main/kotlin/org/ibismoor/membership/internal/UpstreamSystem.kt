/**
 * Maintains the reports of upstreams and their leaving state. The first signal of any source (the upstream itself, the
 * platform's list, the summary of its domain) marks an upstream as leaving until it has a new start identifier. Since
 * the platform's list lags, only names that are new in it count.
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
        Step(tick.messages.fold(tables) { t, message -> applyMessage(t, message, tick.now) })

    private fun applyMessage(tables: MembershipTables, message: MembershipMessage, now: Timestamp): MembershipTables =
        when (message) {
            is UpstreamPolled -> applyReport(tables, message.report, isOwn = true, now)
            is SummaryReceived -> applySummary(tables, message.summary, now)
            is PlatformListReceived -> applyPlatformList(tables, message.leaving, now)
            is ConfigurationAdvanced -> applyConfiguration(tables, message, now)
            else -> tables
        }

    /** A summary that `RouterSystem` dropped is ignored, because it may report an earlier run of an upstream. */
    private fun applySummary(tables: MembershipTables, summary: DomainSummary, now: Timestamp): MembershipTables {
        val last = tables.domains[summary.replica.domain]
        val isAccepted = last?.replica == summary.replica && last.sequence == summary.sequence
        val reports = if (isAccepted) summary.reports else emptyList()
        return reports.fold(tables) { t, report -> applyReport(t, report, isOwn = false, now) }
    }

    private fun applyReport(
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
        return putUpstream(tables, report, entry)
    }

    private fun putUpstream(tables: MembershipTables, report: UpstreamReport, entry: UpstreamEntry): MembershipTables =
        tables.copy(
            upstreams = tables.upstreams.put(report.upstream, entry),
            reportVersion = entry.version,
        )

    private fun applyPlatformList(tables: MembershipTables, leaving: Set<String>, now: Timestamp): MembershipTables {
        val added = leaving - tables.leavingNames
        val next = tables.copy(leavingNames = leaving.toPersistentHashSet())
        return if (added.isEmpty()) next else markLeaving(next, added, now)
    }

    /** An upstream that is declared after the platform listed it is leaving, too. */
    private fun applyConfiguration(
        tables: MembershipTables,
        message: ConfigurationAdvanced,
        now: Timestamp,
    ): MembershipTables {
        val delta = message.delta.upstreams
        val kept = delta.removed.fold(tables) { t, id -> t.copy(upstreams = t.upstreams.remove(id)) }
        val added = delta.changed.values.filter { it.id !in tables.upstreams }
        val names = added.flatMap { listOf(it.id.text, it.baseUrl) }.filter { it in tables.leavingNames }
        return if (names.isEmpty()) kept else markLeaving(kept, names.toSet(), now)
    }

    private fun markLeaving(tables: MembershipTables, names: Set<String>, now: Timestamp): MembershipTables =
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
                putUpstream(t, report, entry)
            }
}
