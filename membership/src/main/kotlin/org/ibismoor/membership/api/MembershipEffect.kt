/**
 * What the membership decisions of a control process ask of their process.
 */
package org.ibismoor.membership.api

import org.ibismoor.configuration.api.ConfigurationNumber
import org.ibismoor.core.api.SessionId
import org.ibismoor.core.api.WallTime

sealed interface MembershipEffect

data class AnswerHeartbeat(val reply: Long, val answer: HeartbeatAnswer) : MembershipEffect

/** Send [summary] to the control processes of all other domains. */
data class SendSummary(val summary: DomainSummary) : MembershipEffect

/** A router was heard, which keeps its session at the domain ledger alive. */
data class RenewRouterSession(val session: SessionId) : MembershipEffect

/** Each live router of every domain has reported [number] or a later one. */
data class ReportConfigurationInForce(val number: ConfigurationNumber, val wallTime: WallTime) : MembershipEffect
