/**
 * Sends the summary of this domain to the other control processes at each summary interval.
 */
package org.ibismoor.membership.internal

import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.membership.api.DomainSummary
import org.ibismoor.membership.api.MembershipMessage
import org.ibismoor.membership.api.MembershipSettings
import org.ibismoor.membership.api.MembershipTables
import org.ibismoor.membership.api.SendSummary

internal class SummarySystem(private val settings: MembershipSettings) : MembershipSystem {
    override fun run(tables: MembershipTables, tick: Tick<MembershipMessage>): MembershipStep =
        if (tick.now < tables.summaryDue) {
            Step(tables)
        } else {
            val sequence = tables.summarySequence + 1
            val next = tables.copy(summaryDue = tick.now + settings.summaryMillis, summarySequence = sequence)
            Step(next, listOf(SendSummary(domainSummary(tables, sequence, tick.now))))
        }

    private fun domainSummary(tables: MembershipTables, sequence: Long, now: Timestamp): DomainSummary {
        val routers = tables.ownRouters()
        return DomainSummary(
            replica = tables.replica,
            sequence = sequence,
            routers = routers.map { it.row }.sortedBy { it.id.text },
            reports = tables.upstreams.filterValues { it.isOwn }.map { (id, entry) -> forwardedReport(id, entry, now) },
            lowestConfiguration = routers.mapNotNull { it.configuration }.minOrNull(),
        )
    }
}
