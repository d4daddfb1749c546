/**
 * Settings of a router process. [controls] are in order of preference, the own domain's first. [publicUrl] is the
 * address that callers use. Equal seeds give equal random decisions.
 */
package org.ibismoor.router.api

import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.RouterId
import org.ibismoor.routing.api.RoutingLimits
import org.ibismoor.transport.api.HttpLimits

data class RouterSettings(
    val id: RouterId,
    val domain: FailureDomainId,
    val host: String,
    val port: Int,
    val publicUrl: String?,
    val controls: List<ControlAddress>,
    val seed: Long,
    val limits: RoutingLimits = RoutingLimits(),
    val httpLimits: HttpLimits = HttpLimits(),
)
