/**
 * Takes and renews the lease at the leader. Another replica's lease is taken over only after it has surely ended on its
 * holder's clock: its length counted from when the grant was applied here, stretched by the drift of clocks, plus the
 * longest time for which an order sent under it can be in flight.
 */
package org.ibismoor.orders.internal

import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickSystem
import org.ibismoor.core.api.Timestamp
import org.ibismoor.orders.api.LeadershipObserved
import org.ibismoor.orders.api.LeaseApplied
import org.ibismoor.orders.api.OrderEffect
import org.ibismoor.orders.api.OrderLease
import org.ibismoor.orders.api.OrderMessage
import org.ibismoor.orders.api.OrderSettings
import org.ibismoor.orders.api.OrderTables
import org.ibismoor.orders.api.ProposeLease

private const val PER_MILLE = 1_000L

internal class LeaseSystem(private val settings: OrderSettings) : TickSystem<OrderTables, OrderMessage, OrderEffect> {
    override fun run(tables: OrderTables, tick: Tick<OrderMessage>): OrderStep {
        val heard = tick.messages.fold(tables) { state, message -> read(state, message, tick.now) }
        val due = nextDue(heard)
        return if (due != null && due <= tick.now) propose(heard, tick.now) else OrderStep(heard)
    }

    private fun read(tables: OrderTables, message: OrderMessage, now: Timestamp): OrderTables =
        when (message) {
            is LeadershipObserved ->
                tables.copy(isLeading = message.isLeading, proposedAt = null)
            is LeaseApplied -> applied(tables, message.lease, now)
            else -> tables
        }

    /** The holder's lease runs from its proposal, the earliest moment at which the grant can have been committed. */
    private fun applied(tables: OrderTables, lease: OrderLease, now: Timestamp): OrderTables {
        val proposedAt = tables.proposedAt
        val isOwn = lease.holder == tables.replica && proposedAt != null && lease.number == tables.proposedPrevious + 1
        return tables.copy(
            lease = lease,
            leaseAppliedAt = now,
            proposedAt = null,
            heldUntil = if (isOwn) proposedAt + lease.durationMillis else null,
        )
    }

    /** Null while there is nothing to order, since an idle fleet needs no lease. */
    fun nextDue(tables: OrderTables): Timestamp? {
        val proposedAt = tables.proposedAt
        return when {
            !tables.isLeading || tables.orders.isEmpty() -> null
            proposedAt != null -> proposedAt + settings.leaseMillis
            else -> takeOverAt(tables)
        }
    }

    private fun takeOverAt(tables: OrderTables): Timestamp {
        val lease = tables.lease
        val heldUntil = tables.heldUntil
        return when {
            lease == null -> Timestamp(0)
            heldUntil != null -> heldUntil + (settings.renewMillis - lease.durationMillis)
            else -> tables.leaseAppliedAt + longestLife(lease)
        }
    }

    private fun longestLife(lease: OrderLease): Long =
        lease.durationMillis + settings.orderMillis +
            (lease.durationMillis + settings.orderMillis) * 2 * settings.driftPerMille / PER_MILLE

    private fun propose(tables: OrderTables, now: Timestamp): OrderStep {
        val previous = tables.lease?.number ?: 0
        val lease = OrderLease(previous + 1, tables.replica, settings.leaseMillis)
        return OrderStep(
            tables.copy(proposedAt = now, proposedPrevious = previous),
            listOf(ProposeLease(previous, lease)),
        )
    }
}
