/**
 * Inputs of the membership machine of a control process.
 */
package org.ibismoor.membership.api

import org.ibismoor.configuration.api.ConfigurationDelta
import org.ibismoor.configuration.api.ConfigurationTables
import org.ibismoor.core.api.UpstreamId

sealed interface MembershipMessage

/** A heartbeat of a router; [reply] identifies the pending answer. */
data class HeartbeatReceived(val reply: Long, val heartbeat: Heartbeat) : MembershipMessage

/** A summary from the control process of another domain. */
data class SummaryReceived(val summary: DomainSummary) : MembershipMessage

/** An upstream of this domain answered a poll. */
data class UpstreamPolled(val report: UpstreamReport) : MembershipMessage

/** An upstream of this domain did not answer a poll. */
data class UpstreamUnreachable(val upstream: UpstreamId) : MembershipMessage

/** The platform lists these names or base URLs as leaving. The list lags behind the actual state. */
data class PlatformListReceived(val leaving: Set<String>) : MembershipMessage

/** The replicated log committed [configuration], which differs from the previous one by [delta]. */
data class ConfigurationAdvanced(val configuration: ConfigurationTables, val delta: ConfigurationDelta) :
    MembershipMessage
