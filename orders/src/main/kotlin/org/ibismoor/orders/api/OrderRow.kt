/**
 * The order for one upstream: the desired and the reported placement, and the order in flight. An order is due at
 * [dueAt] and is not sent again while [sent] is unanswered. The row of an upstream that is no longer declared stays
 * until then.
 */
package org.ibismoor.orders.api

import org.ibismoor.configuration.api.Placement
import org.ibismoor.configuration.api.Upstream
import org.ibismoor.core.api.Timestamp

data class OrderRow(
    val upstream: Upstream,
    val desired: Placement,
    val reported: Placement? = null,
    val dueAt: Timestamp? = null,
    val sent: SentOrder? = null,
    val isDeclared: Boolean = true,
)

/** An order in flight, sent under the lease with [number]. */
data class SentOrder(val number: Long, val placement: Placement)
