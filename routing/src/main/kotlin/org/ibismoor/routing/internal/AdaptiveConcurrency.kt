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

    override fun afterRefusal(group: GroupRow): GroupRow {
        val used = minOf(group.limit ?: group.active.toDouble(), group.active.toDouble())
        return group.copy(limit = (used * DECREASE).coerceAtLeast(group.usable.size.coerceAtLeast(1).toDouble()))
    }

    override fun afterAnswer(group: GroupRow): GroupRow {
        val limit = group.limit ?: return group
        return if (group.active + 1 >= limit) group.copy(limit = limit + 1 / limit) else group
    }
}
