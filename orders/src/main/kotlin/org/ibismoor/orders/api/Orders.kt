/**
 * Creates the state machine of orders to upstreams and its initial tables.
 */
package org.ibismoor.orders.api

import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.TickMachine
import org.ibismoor.core.api.Timestamp
import org.ibismoor.orders.internal.OrderMachine

fun createOrders(settings: OrderSettings = OrderSettings()): TickMachine<OrderTables, OrderMessage, OrderEffect> =
    OrderMachine(settings)

/**
 * Tables after a start. [lease] is the last one in the replicated log; its duration counts from [now], since its age is
 * unknown.
 */
fun initialOrderTables(replica: ReplicaId, lease: OrderLease?, now: Timestamp): OrderTables =
    OrderTables(replica = replica, lease = lease, leaseAppliedAt = now, nextLoadAt = now)
