/**
 * Keeps a row for each upstream that should serve something and notes what it reports.
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
                    is UpstreamsDeclared -> declare(state, message, tick.now)
                    is PlacementReported -> report(state, message.upstream, message.placement, tick.now)
                    is OrderAnswered -> answer(state, message, tick.now)
                    else -> state
                }
            },
        )

    private fun declare(tables: OrderTables, message: UpstreamsDeclared, now: Timestamp): OrderTables =
        message.changed.entries.fold(tables) { state, (id, upstream) ->
            val wanted = upstream?.placement
            if (upstream == null || wanted == null) remove(state, id) else want(state, upstream, wanted, now)
        }

    private fun remove(tables: OrderTables, id: UpstreamId): OrderTables {
        val row = tables.orders[id] ?: return tables
        val isSent = if (row.sentNumber == null) 0 else 1
        return tables.copy(orders = tables.orders.remove(id), loadsInFlight = tables.loadsInFlight - isSent)
    }

    private fun want(tables: OrderTables, upstream: Upstream, wanted: Placement, now: Timestamp): OrderTables {
        val row = tables.orders[upstream.id] ?: OrderRow(upstream, wanted)
        return put(tables, row.copy(upstream = upstream, wanted = wanted), now)
    }

    private fun report(tables: OrderTables, id: UpstreamId, placement: Placement?, now: Timestamp): OrderTables {
        val row = tables.orders[id] ?: return tables
        return if (row.reported == placement) tables else put(tables, row.copy(reported = placement), now)
    }

    /** Sets when the row is due: now if the upstream does not serve what is wanted, never if it does. */
    private fun put(tables: OrderTables, row: OrderRow, now: Timestamp): OrderTables {
        val due = if (row.reported == row.wanted) null else now
        return schedule(tables, row, due)
    }

    private fun schedule(tables: OrderTables, row: OrderRow, due: Timestamp?): OrderTables =
        tables.copy(
            orders = tables.orders.put(row.upstream.id, row.copy(dueAt = due)),
            due = if (due == null) tables.due else tables.due.plus(due, row.upstream.id),
        )

    /** An accepted order is sent again after a while if the upstream still reports something else. */
    private fun answer(tables: OrderTables, message: OrderAnswered, now: Timestamp): OrderTables {
        val row = tables.orders[message.upstream]?.takeIf { it.sentNumber == message.number } ?: return tables
        val reported = if (message.answer == OrderAnswer.ACCEPTED) row.wanted else row.reported
        val due = if (reported == row.wanted) null else now + settings.retryMillis
        val freed = tables.copy(loadsInFlight = tables.loadsInFlight - 1)
        return schedule(freed, row.copy(sentNumber = null, reported = reported), due)
    }
}
