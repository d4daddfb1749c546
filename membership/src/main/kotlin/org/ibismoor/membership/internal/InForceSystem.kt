/**
 * Detects when a configuration is in force: each live router of every declared domain has reported it. A domain without
 * contact may have live routers with an older configuration, so no configuration comes into force without it.
 */
package org.ibismoor.membership.internal

import org.ibismoor.configuration.api.ConfigurationNumber
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.membership.api.HeartbeatReceived
import org.ibismoor.membership.api.InForce
import org.ibismoor.membership.api.MembershipMessage
import org.ibismoor.membership.api.MembershipSettings
import org.ibismoor.membership.api.MembershipTables
import org.ibismoor.membership.api.ReportConfigurationInForce
import org.ibismoor.membership.api.RouterEntry
import org.ibismoor.membership.api.SummaryReceived

internal class InForceSystem(private val settings: MembershipSettings) : MembershipSystem {
    override fun run(tables: MembershipTables, tick: Tick<MembershipMessage>): MembershipStep {
        val current = tables.inForce?.number ?: ConfigurationNumber.NONE
        val mayAdvance = current < tables.configuration.number &&
            tick.messages.any { it is HeartbeatReceived || it is SummaryReceived }
        val number = if (mayAdvance) numberReportedByAll(tables, tick.now) else null
        return if (number == null || number <= current) {
            Step(tables)
        } else {
            val inForce = InForce(number, tick.wallTime)
            Step(tables.copy(inForce = inForce), listOf(ReportConfigurationInForce(inForce.number, inForce.at)))
        }
    }

    /** The highest number that all live routers have reported, or null if a domain is unreachable. */
    private fun numberReportedByAll(tables: MembershipTables, now: Timestamp): ConfigurationNumber? {
        val own = tables.ownRouters().mapNotNull { it.configuration }
        val others = tables.configuration.controlMembers.keys.map { it.domain }.distinct() - tables.replica.domain
        val areAllReachable = others.all { hasContact(tables, it, now) }
        val remote = others.mapNotNull { tables.domains[it]?.lowestConfiguration }
        val lowest = (own + remote).minOrNull()
        return lowest?.takeIf { areAllReachable }?.coerceAtMost(tables.configuration.number)
    }

    private fun hasContact(tables: MembershipTables, domain: FailureDomainId, now: Timestamp): Boolean {
        val contactAt = tables.domains[domain]?.lastContactAt
        return contactAt != null && now - contactAt < settings.contactTimeoutMillis
    }
}

/** The live routers that send their heartbeats here. */
internal fun MembershipTables.ownRouters(): List<RouterEntry> =
    routers.values.filter { it.source == replica.domain }
