/**
 * What orders ask of the process.
 */
package org.ibismoor.orders.api

import org.ibismoor.configuration.api.Placement
import org.ibismoor.configuration.api.Upstream

sealed interface OrderEffect

/**
 * Propose a grant to the replicated log. It takes effect only if the number of the last grant is still [previous],
 * so that a renewal that was committed meanwhile wins.
 */
data class ProposeLease(val previous: Long, val lease: OrderLease) : OrderEffect

/** Tell [upstream] what to serve, under fencing number [number], and give up after [timeoutMillis]. */
data class SendOrder(
    val upstream: Upstream,
    val placement: Placement,
    val number: Long,
    val timeoutMillis: Long,
) : OrderEffect
