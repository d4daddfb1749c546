/**
 * Heartbeat of a router, which it sends each second to the control process of its domain.
 */
package org.ibismoor.membership.api

import kotlinx.serialization.Serializable
import org.ibismoor.configuration.api.ConfigurationNumber

@Serializable
data class Heartbeat(
    val router: RouterRow,
    val configuration: ConfigurationNumber,
    val routerListVersion: Long,
    val reportVersion: Long,
)
