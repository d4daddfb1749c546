/**
 * Effects that the membership machine of a control process requests from its process.
 */
package org.ibismoor.membership.api

import org.ibismoor.configuration.api.ConfigurationNumber
import org.ibismoor.core.api.SessionId
import org.ibismoor.core.api.WallTime

sealed interface MembershipEffect

data class AnswerHeartbeat(val reply: Long, val answer: HeartbeatAnswer) : MembershipEffect

/** Send [summary] to the control processes of all other domains. */
data class SendSummary(val summary: DomainSummary) : MembershipEffect

/** Keep the session of a router at the domain ledger alive, because its heartbeat was received. */
data class RenewRouterSession(val session: SessionId) : MembershipEffect

/** Report that every live router of every domain has reported configuration [number] or a later one. */
data class ReportConfigurationInForce(val number: ConfigurationNumber, val wallTime: WallTime) : MembershipEffect
