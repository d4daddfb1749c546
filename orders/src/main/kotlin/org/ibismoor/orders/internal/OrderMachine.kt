/**
 * The state machine of orders: placements and answers, the lease, and dispatch.
 */
package org.ibismoor.orders.internal

import org.ibismoor.core.api.SystemSchedule
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickMachine
import org.ibismoor.core.api.Timestamp
import org.ibismoor.orders.api.OrderEffect
import org.ibismoor.orders.api.OrderMessage
import org.ibismoor.orders.api.OrderSettings
import org.ibismoor.orders.api.OrderTables

internal class OrderMachine(settings: OrderSettings) : TickMachine<OrderTables, OrderMessage, OrderEffect> {
    private val lease = LeaseSystem(settings)
    private val dispatch = DispatchSystem(settings)
    private val schedule = SystemSchedule(listOf(PlacementSystem(settings), lease, dispatch))

    override fun run(tables: OrderTables, tick: Tick<OrderMessage>): OrderStep = schedule.run(tables, tick)

    override fun nextDue(tables: OrderTables): Timestamp? =
        listOfNotNull(lease.nextDue(tables), dispatch.nextDue(tables)).minOrNull()
}
