/**
 * Sends due orders within the rate limit of the weight store. An order is sent only if it times out before the lease
 * ends, which protects upstreams that ignore fencing numbers; others also refuse a late order themselves.
 */
package org.ibismoor.orders.internal

import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickSystem
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.then
import org.ibismoor.orders.api.OrderEffect
import org.ibismoor.orders.api.OrderMessage
import org.ibismoor.orders.api.OrderRow
import org.ibismoor.orders.api.OrderSettings
import org.ibismoor.orders.api.OrderTables
import org.ibismoor.orders.api.SendOrder
import org.ibismoor.orders.api.SentOrder

internal class DispatchSystem(private val settings: OrderSettings) :
    TickSystem<OrderTables, OrderMessage, OrderEffect> {
    override fun run(tables: OrderTables, tick: Tick<OrderMessage>): OrderStep {
        var step = OrderStep(expireLease(tables, tick.now))
        while (canSend(step.tables, tick.now)) {
            step = step.then { sendNext(it, tick.now) }
        }
        return step
    }

    /** A lease too short for another order counts as expired, so that no order that cannot be sent stays due. */
    private fun expireLease(tables: OrderTables, now: Timestamp): OrderTables {
        val heldUntil = tables.heldUntil ?: return tables
        return if (now + settings.orderTimeoutMillis < heldUntil) tables else tables.copy(heldUntil = null)
    }

    private fun canSend(tables: OrderTables, now: Timestamp): Boolean =
        nextDue(tables)?.let { it <= now } ?: false

    fun nextDue(tables: OrderTables): Timestamp? {
        val isHeld = tables.isLeading && tables.heldUntil != null
        val hasCapacity = tables.loadsInFlight < settings.maximumConcurrentLoads
        return tables.dueQueue.next?.takeIf { isHeld && hasCapacity }?.let { maxOf(it, tables.nextLoadAt) }
    }

    private fun sendNext(tables: OrderTables, now: Timestamp): OrderStep {
        val (entries, rest) = tables.dueQueue.take(now)
        val first = entries.first()
        val remaining = entries.drop(1).fold(rest) { queue, entry -> queue.plus(entry.time, entry.id) }
        val row = tables.orders[first.id]
        val isCurrent = row != null && row.dueAt == first.time && row.sent == null
        val next = tables.copy(dueQueue = remaining)
        return if (row != null && isCurrent) sendOrder(next, row, now) else OrderStep(next)
    }

    private fun sendOrder(tables: OrderTables, row: OrderRow, now: Timestamp): OrderStep {
        val number = checkNotNull(tables.lease).number
        val sent = row.copy(sent = SentOrder(number, row.desired), dueAt = null)
        return OrderStep(
            tables.copy(
                orders = tables.orders.put(row.upstream.id, sent),
                loadsInFlight = tables.loadsInFlight + 1,
                nextLoadAt = now + settings.loadIntervalMillis,
            ),
            listOf(SendOrder(row.upstream, row.desired, number, settings.orderTimeoutMillis)),
        )
    }
}
