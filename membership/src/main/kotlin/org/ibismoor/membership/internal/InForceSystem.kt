/**
 * Notes when a configuration is in force: each live router of every declared domain has reported it. A domain that is
 * not heard may have live routers with an older configuration, so nothing comes into force without it.
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
        val reached = tables.inForce?.number ?: ConfigurationNumber.NONE
        val mayAdvance = reached < tables.configuration.number &&
            tick.messages.any { it is HeartbeatReceived || it is SummaryReceived }
        val number = if (mayAdvance) reportedByAll(tables, tick.now) else null
        return if (number == null || number <= reached) {
            Step(tables)
        } else {
            val inForce = InForce(number, tick.wallTime)
            Step(tables.copy(inForce = inForce), listOf(ReportConfigurationInForce(inForce.number, inForce.at)))
        }
    }

    /** The highest number that all live routers have reached, or null if a domain is not heard. */
    private fun reportedByAll(tables: MembershipTables, now: Timestamp): ConfigurationNumber? {
        val own = tables.ownRouters().mapNotNull { it.configuration }
        val others = tables.configuration.controlMembers.keys.map { it.domain }.distinct() - tables.replica.domain
        val isComplete = others.all { isHeard(tables, it, now) }
        val remote = others.mapNotNull { tables.domains[it]?.lowestConfiguration }
        val lowest = (own + remote).minOrNull()
        return lowest?.takeIf { isComplete }?.coerceAtMost(tables.configuration.number)
    }

    private fun isHeard(tables: MembershipTables, domain: FailureDomainId, now: Timestamp): Boolean {
        val lastContact = tables.domains[domain]?.lastContact
        return lastContact != null && now - lastContact < settings.contactTimeoutMillis
    }
}

/** The live routers that send their heartbeats here. */
internal fun MembershipTables.ownRouters(): List<RouterEntry> =
    routers.values.filter { it.source == replica.domain }
