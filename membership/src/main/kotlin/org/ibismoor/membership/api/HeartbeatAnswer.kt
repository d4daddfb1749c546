/**
 * Answer of a control process to a heartbeat, with the changes since the versions in the heartbeat. A part that is null
 * has not changed. [HeartbeatAnswer.keyPrefix] is the prefix of request keys homed in the answering domain.
 */
package org.ibismoor.membership.api

import kotlinx.serialization.Serializable
import org.ibismoor.configuration.api.ConfigurationDelta

@Serializable
data class HeartbeatAnswer(
    val keyPrefix: String,
    val configuration: ConfigurationDelta? = null,
    val routerListVersion: Long,
    val routers: List<RouterRow>? = null,
    val reportVersion: Long,
    val reports: List<UpstreamReport>? = null,
    val isLeaving: Boolean = false,
)
