/**
 * Acquires and renews the lease at the leader. Another replica's lease is taken over only once it must have expired on
 * its holder's clock and its last order must have ended: after the lease duration and the order timeout, counted from
 * when the lease was applied here and extended by the maximum clock drift.
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
        val updated = tick.messages.fold(tables) { state, message -> applyMessage(state, message, tick.now) }
        val due = nextDue(updated)
        return if (due != null && due <= tick.now) proposeLease(updated, tick.now) else OrderStep(updated)
    }

    private fun applyMessage(tables: OrderTables, message: OrderMessage, now: Timestamp): OrderTables =
        when (message) {
            is LeadershipObserved ->
                tables.copy(isLeading = message.isLeading, proposedAt = null)
            is LeaseApplied -> applyLease(tables, message.lease, now)
            else -> tables
        }

    /** The holder counts the lease from its proposal, the earliest time at which it can have been committed. */
    private fun applyLease(tables: OrderTables, lease: OrderLease, now: Timestamp): OrderTables {
        val proposedAt = tables.proposedAt
        val isOwn = lease.holder == tables.replica &&
            proposedAt != null &&
            lease.number == tables.proposedPreviousNumber + 1
        return tables.copy(
            lease = lease,
            leaseAppliedAt = now,
            proposedAt = null,
            heldUntil = if (isOwn) proposedAt + lease.durationMillis else null,
        )
    }

    /** Null without orders, since an idle fleet needs no lease. */
    fun nextDue(tables: OrderTables): Timestamp? {
        val proposedAt = tables.proposedAt
        return when {
            !tables.isLeading || tables.orders.isEmpty() -> null
            proposedAt != null -> proposedAt + settings.leaseMillis
            else -> nextProposalAt(tables)
        }
    }

    private fun nextProposalAt(tables: OrderTables): Timestamp {
        val lease = tables.lease
        val heldUntil = tables.heldUntil
        return when {
            lease == null -> Timestamp(0)
            heldUntil != null -> heldUntil + (settings.renewAfterMillis - lease.durationMillis)
            else -> tables.leaseAppliedAt + maximumLifetimeMillis(lease)
        }
    }

    /** Both clocks may drift, in opposite directions. */
    private fun maximumLifetimeMillis(lease: OrderLease): Long =
        lease.durationMillis + settings.orderTimeoutMillis +
            (lease.durationMillis + settings.orderTimeoutMillis) * 2 * settings.clockDriftPerMille / PER_MILLE

    private fun proposeLease(tables: OrderTables, now: Timestamp): OrderStep {
        val previousNumber = tables.lease?.number ?: 0
        val lease = OrderLease(previousNumber + 1, tables.replica, settings.leaseMillis)
        return OrderStep(
            tables.copy(proposedAt = now, proposedPreviousNumber = previousNumber),
            listOf(ProposeLease(previousNumber, lease)),
        )
    }
}
