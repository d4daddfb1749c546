/**
 * Effects that the order machine requests from its process.
 */
package org.ibismoor.orders.api

import org.ibismoor.configuration.api.Placement
import org.ibismoor.configuration.api.Upstream

sealed interface OrderEffect

/**
 * Propose [lease] to the replicated log. It takes effect only if the number of the last lease is still
 * [previousNumber], so that a renewal committed meanwhile prevails.
 */
data class ProposeLease(val previousNumber: Long, val lease: OrderLease) : OrderEffect

/** Order [upstream] to serve [placement], with fencing number [number] and a timeout of [timeoutMillis]. */
data class SendOrder(
    val upstream: Upstream,
    val placement: Placement,
    val number: Long,
    val timeoutMillis: Long,
) : OrderEffect
