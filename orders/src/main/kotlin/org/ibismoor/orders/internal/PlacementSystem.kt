/**
 * Maintains a row for each upstream with a desired placement and records reported placements and answers to orders.
 */
package org.ibismoor.orders.internal

import org.ibismoor.configuration.api.Placement
import org.ibismoor.configuration.api.Upstream
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickSystem
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.orders.api.OrderAnswer
import org.ibismoor.orders.api.OrderAnswered
import org.ibismoor.orders.api.OrderEffect
import org.ibismoor.orders.api.OrderMessage
import org.ibismoor.orders.api.OrderRow
import org.ibismoor.orders.api.OrderSettings
import org.ibismoor.orders.api.OrderTables
import org.ibismoor.orders.api.PlacementReported
import org.ibismoor.orders.api.UpstreamsDeclared

internal class PlacementSystem(private val settings: OrderSettings) :
    TickSystem<OrderTables, OrderMessage, OrderEffect> {
    override fun run(tables: OrderTables, tick: Tick<OrderMessage>): OrderStep =
        OrderStep(
            tick.messages.fold(tables) { state, message ->
                when (message) {
                    is UpstreamsDeclared -> applyDeclarations(state, message, tick.now)
                    is PlacementReported -> recordPlacement(state, message.upstream, message.placement, tick.now)
                    is OrderAnswered -> applyAnswer(state, message, tick.now)
                    else -> state
                }
            },
        )

    private fun applyDeclarations(tables: OrderTables, message: UpstreamsDeclared, now: Timestamp): OrderTables =
        message.changed.entries.fold(tables) { state, (id, upstream) ->
            val desired = upstream?.placement
            if (upstream == null || desired == null) removeRow(state, id) else putDesired(state, upstream, desired, now)
        }

    /** An order in flight still loads at the weight store, so its row stays until it is answered. */
    private fun removeRow(tables: OrderTables, id: UpstreamId): OrderTables {
        val row = tables.orders[id] ?: return tables
        return if (row.sent == null) {
            tables.copy(orders = tables.orders.remove(id))
        } else {
            scheduleOrder(tables, row.copy(isDeclared = false), due = null)
        }
    }

    private fun putDesired(tables: OrderTables, upstream: Upstream, desired: Placement, now: Timestamp): OrderTables {
        val row = tables.orders[upstream.id] ?: OrderRow(upstream, desired)
        return putRow(tables, row.copy(upstream = upstream, desired = desired, isDeclared = true), now)
    }

    private fun recordPlacement(
        tables: OrderTables,
        id: UpstreamId,
        placement: Placement?,
        now: Timestamp,
    ): OrderTables {
        val row = tables.orders[id] ?: return tables
        return if (row.reported == placement) tables else putRow(tables, row.copy(reported = placement), now)
    }

    /** An order is due at once if the reported placement differs from the desired one. */
    private fun putRow(tables: OrderTables, row: OrderRow, now: Timestamp): OrderTables {
        val due = if (row.reported == row.desired) null else now
        return scheduleOrder(tables, row, due)
    }

    private fun scheduleOrder(tables: OrderTables, row: OrderRow, due: Timestamp?): OrderTables =
        tables.copy(
            orders = tables.orders.put(row.upstream.id, row.copy(dueAt = due)),
            dueQueue = if (due == null) tables.dueQueue else tables.dueQueue.plus(due, row.upstream.id),
        )

    private fun applyAnswer(tables: OrderTables, message: OrderAnswered, now: Timestamp): OrderTables {
        val row = tables.orders[message.upstream]
        val sent = row?.sent?.takeIf { it.number == message.number }
        return if (row == null || sent == null) tables else finishOrder(tables, row, message.answer, now)
    }

    /** An accepted order counts as carried out until the upstream reports another placement; any other is retried. */
    private fun finishOrder(tables: OrderTables, row: OrderRow, answer: OrderAnswer, now: Timestamp): OrderTables {
        val isAccepted = answer == OrderAnswer.ACCEPTED
        val reported = if (isAccepted) row.sent?.placement else row.reported
        val delay = if (isAccepted) 0 else settings.retryDelayMillis
        val due = if (reported == row.desired) null else now + delay
        val finished = tables.copy(loadsInFlight = tables.loadsInFlight - 1)
        return if (row.isDeclared) {
            scheduleOrder(finished, row.copy(sent = null, reported = reported), due)
        } else {
            finished.copy(orders = finished.orders.remove(row.upstream.id))
        }
    }
}
