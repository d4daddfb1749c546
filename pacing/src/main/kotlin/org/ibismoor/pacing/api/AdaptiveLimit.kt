/**
 * Arithmetic of an adaptive concurrency limit: slow start, additive increase and multiplicative decrease. The limit
 * follows what upstreams answer, since a router does not know the load that other routers put on them.
 */
package org.ibismoor.pacing.api

object AdaptiveLimit {
    /**
     * The limit after a refusal, with [active] requests. While more requests are active than the limit allows, refusals
     * still stem from before its last decrease. A null [limit] has never been lowered.
     */
    fun lowered(limit: Double?, active: Int, factor: Double, minimum: Double): Double =
        when {
            limit != null && active > limit -> limit
            else -> (minOf(limit ?: (active + 1.0), active.toDouble()) * factor).coerceAtLeast(minimum)
        }

    /**
     * The limit after a good answer, with [active] other requests. It rises by one in a round of answers, or doubles
     * if [isDoubling]. Answers below the limit do not show that the upstream can take more.
     */
    fun raised(limit: Double, active: Int, isDoubling: Boolean): Double =
        when {
            active + 1 < limit -> limit
            isDoubling -> limit + 1
            else -> limit + 1 / limit
        }
}
