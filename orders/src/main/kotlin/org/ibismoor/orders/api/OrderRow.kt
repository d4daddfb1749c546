/**
 * The order of one upstream: what it should serve, what it reported, and the attempt under way. An order is due when
 * [dueAt] is reached and is not sent while [sentNumber] waits for its answer.
 */
package org.ibismoor.orders.api

import org.ibismoor.configuration.api.Placement
import org.ibismoor.configuration.api.Upstream
import org.ibismoor.core.api.Timestamp

data class OrderRow(
    val upstream: Upstream,
    val wanted: Placement,
    val reported: Placement? = null,
    val dueAt: Timestamp? = null,
    val sentNumber: Long? = null,
)
