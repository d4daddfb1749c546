/**
 * Concurrency limits of upstream groups. The adaptive limit follows the refusals of the upstreams by the rules of
 * `pacing`. Requests above the limit wait in this router's queue, which applies priorities and fairness, instead of
 * being refused and retried.
 */
package org.ibismoor.routing.internal

import org.ibismoor.pacing.api.AdaptiveLimit
import org.ibismoor.routing.api.ConcurrencyPolicy
import org.ibismoor.routing.api.GroupRow

/** A refusal by one upstream says little of the other upstreams of its group. */
private const val GROUP_DECREASE_FACTOR = 0.9

internal object FixedConcurrency : ConcurrencyPolicy {
    override fun activeLimit(group: GroupRow, upperBound: Int): Double = upperBound.toDouble()

    override fun applyRefusal(group: GroupRow): GroupRow = group

    override fun applyAnswer(group: GroupRow): GroupRow = group
}

internal object PacedConcurrency : ConcurrencyPolicy {
    override fun activeLimit(group: GroupRow, upperBound: Int): Double =
        (group.concurrencyLimit ?: upperBound.toDouble()).coerceIn(1.0, upperBound.toDouble())

    override fun applyRefusal(group: GroupRow): GroupRow {
        val minimum = group.usable.size.coerceAtLeast(1).toDouble()
        val limit = AdaptiveLimit.lowered(group.concurrencyLimit, group.active, GROUP_DECREASE_FACTOR, minimum)
        return group.copy(concurrencyLimit = limit)
    }

    override fun applyAnswer(group: GroupRow): GroupRow {
        val limit = group.concurrencyLimit ?: return group
        return group.copy(concurrencyLimit = AdaptiveLimit.raised(limit, group.active, isDoubling = false))
    }
}
