/**
 * Concurrency limits of upstream groups. A router does not know how many other routers share an upstream, so the
 * adaptive limit follows the refusals of the upstreams (additive increase, multiplicative decrease). Requests above the
 * limit wait in this router's queue, which applies priorities and fairness, instead of being refused and retried.
 */
package org.ibismoor.routing.internal

import org.ibismoor.routing.api.ConcurrencyPolicy
import org.ibismoor.routing.api.GroupRow

private const val DECREASE_FACTOR = 0.9

internal object FixedConcurrency : ConcurrencyPolicy {
    override fun activeLimit(group: GroupRow, upperBound: Int): Double = upperBound.toDouble()

    override fun applyRefusal(group: GroupRow): GroupRow = group

    override fun applyAnswer(group: GroupRow): GroupRow = group
}

internal object AdaptiveConcurrency : ConcurrencyPolicy {
    override fun activeLimit(group: GroupRow, upperBound: Int): Double =
        (group.concurrencyLimit ?: upperBound.toDouble()).coerceIn(1.0, upperBound.toDouble())

    /** While more requests are active than the limit allows, refusals still stem from before its last decrease. */
    override fun applyRefusal(group: GroupRow): GroupRow {
        val limit = group.concurrencyLimit ?: (group.active + 1.0)
        val minimum = group.usable.size.coerceAtLeast(1).toDouble()
        return if (group.concurrencyLimit != null && group.active > limit) {
            group
        } else {
            val lowered = minOf(limit, group.active.toDouble()) * DECREASE_FACTOR
            group.copy(concurrencyLimit = lowered.coerceAtLeast(minimum))
        }
    }

    override fun applyAnswer(group: GroupRow): GroupRow {
        val limit = group.concurrencyLimit ?: return group
        return if (group.active + 1 >= limit) group.copy(concurrencyLimit = limit + 1 / limit) else group
    }
}
