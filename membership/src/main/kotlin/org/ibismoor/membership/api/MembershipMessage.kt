/**
 * What drives the membership decisions of a control process beside the passing of time.
 */
package org.ibismoor.membership.api

import org.ibismoor.configuration.api.ConfigurationDelta
import org.ibismoor.configuration.api.ConfigurationTables
import org.ibismoor.core.api.UpstreamId

sealed interface MembershipMessage

/** A router reported; [reply] names the answer that it waits for. */
data class HeartbeatReceived(val reply: Long, val heartbeat: Heartbeat) : MembershipMessage

/** The control process of another domain reported. */
data class SummaryReceived(val summary: DomainSummary) : MembershipMessage

/** An upstream of this domain answered a poll. */
data class UpstreamPolled(val report: UpstreamReport) : MembershipMessage

/** An upstream of this domain did not answer a poll. */
data class UpstreamUnreachable(val upstream: UpstreamId) : MembershipMessage

/** The platform lists these names or base URLs as leaving. The list lags. */
data class PlatformListReceived(val leaving: Set<String>) : MembershipMessage

/** The replicated log accepted [configuration], which differs from the one before by [delta]. */
data class ConfigurationAdvanced(val configuration: ConfigurationTables, val delta: ConfigurationDelta) :
    MembershipMessage
