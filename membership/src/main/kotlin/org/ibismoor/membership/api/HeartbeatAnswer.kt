/**
 * What a control process answers to a heartbeat: what changed since the versions that the router stated. An absent
 * part has not changed. [keyPrefix] is the prefix of keys homed at the answering domain.
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
