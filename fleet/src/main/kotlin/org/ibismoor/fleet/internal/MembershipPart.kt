/**
 * Adapts the membership state machine to the messages and effects of the control replica.
 */
package org.ibismoor.fleet.internal

import org.ibismoor.fleet.api.AnswerRouter
import org.ibismoor.fleet.api.ControlMessage
import org.ibismoor.fleet.api.ControlTables
import org.ibismoor.fleet.api.DomainSummaryReceived
import org.ibismoor.fleet.api.LeavingVmsReceived
import org.ibismoor.fleet.api.ReportInForce
import org.ibismoor.fleet.api.RouterHeartbeatReceived
import org.ibismoor.fleet.api.SendDomainSummary
import org.ibismoor.fleet.api.UpstreamLoadReceived
import org.ibismoor.fleet.api.UpstreamPollFailed
import org.ibismoor.membership.api.AnswerHeartbeat
import org.ibismoor.membership.api.ConfigurationAdvanced
import org.ibismoor.membership.api.HeartbeatReceived
import org.ibismoor.membership.api.MembershipEffect
import org.ibismoor.membership.api.MembershipMessage
import org.ibismoor.membership.api.MembershipSettings
import org.ibismoor.membership.api.MembershipTables
import org.ibismoor.membership.api.PlatformListReceived
import org.ibismoor.membership.api.RenewRouterSession
import org.ibismoor.membership.api.ReportConfigurationInForce
import org.ibismoor.membership.api.SendSummary
import org.ibismoor.membership.api.SummaryReceived
import org.ibismoor.membership.api.UpstreamPolled
import org.ibismoor.membership.api.UpstreamUnreachable
import org.ibismoor.membership.api.createMembership

internal class MembershipPart(settings: MembershipSettings) :
    Part<MembershipTables, MembershipMessage, MembershipEffect> {
    override val machine = createMembership(settings)

    override fun tables(control: ControlTables): MembershipTables = control.membership

    override fun withTables(control: ControlTables, tables: MembershipTables): ControlTables =
        control.copy(membership = tables)

    override fun messagesFor(control: ControlTables, message: ControlMessage): List<MembershipMessage> =
        listOfNotNull(
            when (message) {
                is RouterHeartbeatReceived -> HeartbeatReceived(message.reply, message.heartbeat)
                is DomainSummaryReceived -> SummaryReceived(message.summary)
                is UpstreamLoadReceived -> UpstreamPolled(message.report)
                is UpstreamPollFailed -> UpstreamUnreachable(message.upstream)
                is LeavingVmsReceived -> PlatformListReceived(message.leaving)
                is FleetTablesChanged -> configurationAdvance(control, message)
                else -> null
            },
        )

    private fun configurationAdvance(control: ControlTables, change: FleetTablesChanged): MembershipMessage? =
        change.delta?.let { ConfigurationAdvanced(control.fleet.configuration, it) }

    override fun translate(control: ControlTables, effect: MembershipEffect): Translation =
        when (effect) {
            is AnswerHeartbeat -> Translation.effect(AnswerRouter(effect.reply, effect.answer))
            is SendSummary -> Translation.effect(SendDomainSummary(effect.summary))
            is RenewRouterSession -> Translation.message(RouterContactReceived(effect.session))
            is ReportConfigurationInForce -> Translation.effect(ReportInForce(effect.number, effect.wallTime))
        }
}
