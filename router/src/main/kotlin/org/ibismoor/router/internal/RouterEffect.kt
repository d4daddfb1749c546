/**
 * Effects of a tick that the router process performs.
 */
package org.ibismoor.router.internal

import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.ledger.api.LedgerRequest
import org.ibismoor.membership.api.Heartbeat
import org.ibismoor.routing.api.RoutingEffect

internal sealed interface RouterEffect

/** Performs an effect of the routing decisions. */
internal data class RoutingOutput(val effect: RoutingEffect) : RouterEffect

internal data class SendHeartbeat(val domain: FailureDomainId, val heartbeat: Heartbeat) : RouterEffect

internal data class SendBatch(val domain: FailureDomainId, val number: Long, val requests: List<LedgerRequest>) :
    RouterEffect
