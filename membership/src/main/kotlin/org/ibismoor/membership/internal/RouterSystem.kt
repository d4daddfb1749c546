/**
 * Maintains the list of live routers: those with heartbeats here and those in the summaries of other domains. A router
 * without contact for the contact timeout is removed.
 */
package org.ibismoor.membership.internal

import org.ibismoor.core.api.DueEntry
import org.ibismoor.core.api.RouterId
import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.membership.api.DomainEntry
import org.ibismoor.membership.api.DomainSummary
import org.ibismoor.membership.api.Heartbeat
import org.ibismoor.membership.api.HeartbeatReceived
import org.ibismoor.membership.api.MembershipMessage
import org.ibismoor.membership.api.MembershipSettings
import org.ibismoor.membership.api.MembershipTables
import org.ibismoor.membership.api.RouterEntry
import org.ibismoor.membership.api.SummaryReceived

internal class RouterSystem(private val settings: MembershipSettings) : MembershipSystem {
    override fun run(tables: MembershipTables, tick: Tick<MembershipMessage>): MembershipStep {
        val due = tables.due.take(tick.now)
        val next = tick.messages.fold(tables.copy(due = due.rest)) { t, message -> applyMessage(t, message, tick.now) }
        return Step(due.entries.fold(next) { t, entry -> expireRouter(t, entry, tick.now) })
    }

    private fun applyMessage(tables: MembershipTables, message: MembershipMessage, now: Timestamp): MembershipTables =
        when (message) {
            is HeartbeatReceived -> applyHeartbeat(tables, message.heartbeat, now)
            is SummaryReceived -> applySummary(tables, message.summary, now)
            else -> tables
        }

    private fun applyHeartbeat(tables: MembershipTables, heartbeat: Heartbeat, now: Timestamp): MembershipTables {
        val entry = RouterEntry(heartbeat.router, tables.replica.domain, now, heartbeat.configuration)
        val highest = maxOf(tables.highestReported, heartbeat.configuration)
        return putRouter(tables.copy(highestReported = highest), entry)
    }

    /**
     * A summary that arrives after a later one is dropped. A restarted process numbers its summaries from 1 again. They
     * are accepted once the last summary of its previous run is older than the contact timeout.
     */
    private fun applySummary(tables: MembershipTables, summary: DomainSummary, now: Timestamp): MembershipTables {
        val domain = summary.replica.domain
        val last = tables.domains[domain]
        val isOutdated = last != null && now - last.lastContactAt < settings.contactTimeoutMillis &&
            (summary.replica < last.replica || summary.replica == last.replica && summary.sequence <= last.sequence)
        if (isOutdated || domain == tables.replica.domain) return tables
        val entry = DomainEntry(summary.replica, summary.sequence, now, summary.lowestConfiguration)
        return summary.routers.fold(tables.copy(domains = tables.domains.put(domain, entry))) { t, row ->
            val own = t.routers[row.id]?.takeIf { it.source == t.replica.domain && it.lastContactAt == now }
            if (own == null) putRouter(t, RouterEntry(row, domain, now)) else t
        }
    }

    private fun putRouter(tables: MembershipTables, entry: RouterEntry): MembershipTables {
        val old = tables.routers[entry.row.id]?.row
        val isSame = old?.copy(inFlight = entry.row.inFlight) == entry.row
        return tables.copy(
            routers = tables.routers.put(entry.row.id, entry),
            routerListVersion = if (isSame) tables.routerListVersion else tables.routerListVersion + 1,
            due = tables.due.plus(entry.lastContactAt + settings.contactTimeoutMillis, entry.row.id),
        )
    }

    private fun expireRouter(tables: MembershipTables, entry: DueEntry<RouterId>, now: Timestamp): MembershipTables {
        val expired = tables.routers[entry.id]
            ?.takeIf { it.lastContactAt + settings.contactTimeoutMillis <= now }
            ?: return tables
        return tables.copy(
            routers = tables.routers.remove(expired.row.id),
            routerListVersion = tables.routerListVersion + 1,
        )
    }
}
