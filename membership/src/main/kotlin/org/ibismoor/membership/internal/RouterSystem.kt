/**
 * Keeps the list of live routers: those that sent a heartbeat here and those in the summaries of other domains. A
 * router that nobody heard for the silence limit is dropped.
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
        val heard = tick.messages.fold(tables.copy(due = due.rest)) { t, message -> take(t, message, tick.now) }
        return Step(due.entries.fold(heard) { t, entry -> expire(t, entry, tick.now) })
    }

    private fun take(tables: MembershipTables, message: MembershipMessage, now: Timestamp): MembershipTables =
        when (message) {
            is HeartbeatReceived -> heartbeat(tables, message.heartbeat, now)
            is SummaryReceived -> summary(tables, message.summary, now)
            else -> tables
        }

    private fun heartbeat(tables: MembershipTables, heartbeat: Heartbeat, now: Timestamp): MembershipTables {
        val entry = RouterEntry(heartbeat.router, tables.replica.domain, now, heartbeat.configuration)
        val highest = maxOf(tables.highestReported, heartbeat.configuration)
        return put(tables.copy(highestReported = highest), entry)
    }

    /**
     * A summary that was overtaken by a later one is dropped. A restarted process counts from the start again, which
     * is accepted once its old summaries are silent.
     */
    private fun summary(tables: MembershipTables, summary: DomainSummary, now: Timestamp): MembershipTables {
        val domain = summary.replica.domain
        val known = tables.domains[domain]
        val isOld = known != null && now - known.lastContact < settings.contactTimeoutMillis &&
            (summary.replica < known.replica || summary.replica == known.replica && summary.sequence <= known.sequence)
        if (isOld || domain == tables.replica.domain) return tables
        val entry = DomainEntry(summary.replica, summary.sequence, now, summary.lowestConfiguration)
        return summary.routers.fold(tables.copy(domains = tables.domains.put(domain, entry))) { t, row ->
            val own = t.routers[row.id]?.takeIf { it.source == t.replica.domain && it.lastContact == now }
            if (own == null) put(t, RouterEntry(row, domain, now)) else t
        }
    }

    private fun put(tables: MembershipTables, entry: RouterEntry): MembershipTables {
        val old = tables.routers[entry.row.id]?.row
        val isSame = old?.copy(inFlight = entry.row.inFlight) == entry.row
        return tables.copy(
            routers = tables.routers.put(entry.row.id, entry),
            routerListVersion = if (isSame) tables.routerListVersion else tables.routerListVersion + 1,
            due = tables.due.plus(entry.lastContact + settings.contactTimeoutMillis, entry.row.id),
        )
    }

    private fun expire(tables: MembershipTables, entry: DueEntry<RouterId>, now: Timestamp): MembershipTables {
        val row = tables.routers[entry.id]?.takeIf { it.lastContact + settings.contactTimeoutMillis <= now } ?: return tables
        return tables.copy(
            routers = tables.routers.remove(row.row.id),
            routerListVersion = tables.routerListVersion + 1,
        )
    }
}
