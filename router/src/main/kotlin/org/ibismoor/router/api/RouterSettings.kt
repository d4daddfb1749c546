/**
 * Settings of a router process. [controlAddresses] are in order of preference, starting with the router's own domain.
 * [publicUrl] is the address that callers use. With equal values of [randomSeed] random decisions are reproducible.
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
    val controlAddresses: List<ControlAddress>,
    val randomSeed: Long,
    val limits: RoutingLimits = RoutingLimits(),
    val httpLimits: HttpLimits = HttpLimits(),
)
