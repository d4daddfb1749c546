/**
 * Membership as a part of the control replica.
 */
package org.ibismoor.fleet.internal

import org.ibismoor.fleet.api.AnswerRouter
import org.ibismoor.fleet.api.ControlMessage
import org.ibismoor.fleet.api.ControlTables
import org.ibismoor.fleet.api.DomainSummarised
import org.ibismoor.fleet.api.PlatformAnswered
import org.ibismoor.fleet.api.ReportInForce
import org.ibismoor.fleet.api.RouterBeat
import org.ibismoor.fleet.api.SendDomainSummary
import org.ibismoor.fleet.api.UpstreamAnswered
import org.ibismoor.fleet.api.UpstreamSilent
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

    override fun with(control: ControlTables, tables: MembershipTables): ControlTables =
        control.copy(membership = tables)

    override fun read(control: ControlTables, message: ControlMessage): List<MembershipMessage> =
        listOfNotNull(
            when (message) {
                is RouterBeat -> HeartbeatReceived(message.reply, message.heartbeat)
                is DomainSummarised -> SummaryReceived(message.summary)
                is UpstreamAnswered -> UpstreamPolled(message.report)
                is UpstreamSilent -> UpstreamUnreachable(message.upstream)
                is PlatformAnswered -> PlatformListReceived(message.leaving)
                is FleetMoved -> configuration(control, message)
                else -> null
            },
        )

    private fun configuration(control: ControlTables, moved: FleetMoved): MembershipMessage? =
        moved.delta?.let { ConfigurationAdvanced(control.fleet.configuration, it) }

    override fun write(control: ControlTables, effect: MembershipEffect): Translation =
        when (effect) {
            is AnswerHeartbeat -> Translation.effect(AnswerRouter(effect.reply, effect.answer))
            is SendSummary -> Translation.effect(SendDomainSummary(effect.summary))
            is RenewRouterSession -> Translation.message(RouterSeen(effect.session))
            is ReportConfigurationInForce -> Translation.effect(ReportInForce(effect.number, effect.wallTime))
        }
}
