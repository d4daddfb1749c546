/**
 * Concurrency limits. A router does not know how many other routers share an upstream, so the limit follows what the
 * upstreams refuse: additive increase and multiplicative decrease. Requests above it wait in the own queue, where
 * priorities and fairness hold, instead of being refused and retried.
 */
package org.ibismoor.routing.internal

import org.ibismoor.routing.api.ConcurrencyPolicy
import org.ibismoor.routing.api.GroupRow

private const val DECREASE = 0.9

internal object FixedConcurrency : ConcurrencyPolicy {
    override fun room(group: GroupRow, largest: Int): Double = largest.toDouble()

    override fun afterRefusal(group: GroupRow): GroupRow = group

    override fun afterAnswer(group: GroupRow): GroupRow = group
}

internal object AdaptiveConcurrency : ConcurrencyPolicy {
    override fun room(group: GroupRow, largest: Int): Double =
        (group.limit ?: largest.toDouble()).coerceIn(1.0, largest.toDouble())

    /** Refusals that arrive while more are active than the limit belong to the time before its last decrease. */
    override fun afterRefusal(group: GroupRow): GroupRow {
        val limit = group.limit ?: (group.active + 1.0)
        val least = group.usable.size.coerceAtLeast(1).toDouble()
        return if (group.limit != null && group.active > limit) {
            group
        } else {
            group.copy(limit = (minOf(limit, group.active.toDouble()) * DECREASE).coerceAtLeast(least))
        }
    }

    override fun afterAnswer(group: GroupRow): GroupRow {
        val limit = group.limit ?: return group
        return if (group.active + 1 >= limit) group.copy(limit = limit + 1 / limit) else group
    }
}
