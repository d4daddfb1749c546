/**
 * Sends due orders within the rate limit of the weight store. An upstream that ignores fencing numbers gets an order
 * only if the order ends before the lease does; one that checks them refuses an order that comes too late by itself.
 */
package org.ibismoor.orders.internal

import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickSystem
import org.ibismoor.core.api.Timestamp
import org.ibismoor.orders.api.OrderEffect
import org.ibismoor.orders.api.OrderMessage
import org.ibismoor.orders.api.OrderRow
import org.ibismoor.orders.api.OrderSettings
import org.ibismoor.orders.api.OrderTables
import org.ibismoor.orders.api.SendOrder

internal class DispatchSystem(private val settings: OrderSettings) :
    TickSystem<OrderTables, OrderMessage, OrderEffect> {
    override fun run(tables: OrderTables, tick: Tick<OrderMessage>): OrderStep {
        var step = OrderStep(endLease(tables, tick.now))
        while (isSendPossible(step.tables, tick.now)) {
            val next = sendNext(step.tables, tick.now)
            step = OrderStep(next.tables, step.effects + next.effects)
        }
        return step
    }

    /** A lease that is too short for another order counts as ended, so that nothing stays due that cannot be sent. */
    private fun endLease(tables: OrderTables, now: Timestamp): OrderTables {
        val heldUntil = tables.heldUntil ?: return tables
        return if (now + settings.orderMillis < heldUntil) tables else tables.copy(heldUntil = null)
    }

    private fun isSendPossible(tables: OrderTables, now: Timestamp): Boolean =
        nextDue(tables)?.let { it <= now } ?: false

    fun nextDue(tables: OrderTables): Timestamp? {
        val isHeld = tables.isLeading && tables.heldUntil != null
        val isFree = tables.loadsInFlight < settings.concurrentLoads
        return tables.due.next?.takeIf { isHeld && isFree }?.let { maxOf(it, tables.nextLoadAt) }
    }

    private fun sendNext(tables: OrderTables, now: Timestamp): OrderStep {
        val (entries, rest) = tables.due.take(now)
        val first = entries.first()
        val kept = entries.drop(1).fold(rest) { queue, entry -> queue.plus(entry.time, entry.id) }
        val row = tables.orders[first.id]
        val isCurrent = row != null && row.dueAt == first.time && row.sentNumber == null
        val taken = tables.copy(due = kept)
        return if (row != null && isCurrent) send(taken, row, now) else OrderStep(taken)
    }

    private fun send(tables: OrderTables, row: OrderRow, now: Timestamp): OrderStep {
        val number = checkNotNull(tables.lease).number
        val sent = row.copy(sentNumber = number, dueAt = null)
        return OrderStep(
            tables.copy(
                orders = tables.orders.put(row.upstream.id, sent),
                loadsInFlight = tables.loadsInFlight + 1,
                nextLoadAt = now + settings.loadIntervalMillis,
            ),
            listOf(SendOrder(row.upstream, row.wanted, number, settings.orderMillis)),
        )
    }
}
