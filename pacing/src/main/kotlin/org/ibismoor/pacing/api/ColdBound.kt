/**
 * Bound on the requests that a cold upstream gets from all routers together. Rendezvous hashing over the listed routers
 * chooses a few senders for each upstream. Each may send a fixed number of requests within a window, and the other
 * routers send none. The parts use half of the bound, so that the senders of two disjoint lists keep it together.
 *
 * Load pattern: starts of upstreams and the return of a whole failure domain, with all routers sending.
 */
package org.ibismoor.pacing.api

import org.ibismoor.core.api.SeededRandom
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.pacing.internal.seedOf

/** Senders of one cold upstream, if the bound is large enough for a request a second from each. */
private const val MAXIMUM_SENDERS = 8

/** Lists of routers that may be in use at the same time. */
private const val LISTS = 2

/**
 * Length of the window in which the sends of one router are counted. It exceeds one second by the largest difference
 * of two requests' times on the way, so that requests sent in different windows do not arrive within one second.
 */
private const val WINDOW_MILLIS = 1_250L

data class ColdBound(
    /** Number of routers that send to one cold upstream. */
    val senders: Int,
    /** Requests that each of them may send within [windowMillis]. */
    val sends: Int,
    val windowMillis: Long = WINDOW_MILLIS,
) {
    /** What the router at [router] may send to [upstream] while it is cold. */
    fun limitOf(upstream: UpstreamId, router: String, routers: List<String>): ColdLimit {
        val isSender = router in routers && rankOf(upstream, router, routers) < senders
        return ColdLimit(if (isSender) sends else 0, windowMillis)
    }

    private fun rankOf(upstream: UpstreamId, router: String, routers: List<String>): Int {
        val own = weightOf(upstream, router)
        return routers.count { other ->
            val weight = weightOf(upstream, other)
            weight > own || weight == own && other < router
        }
    }

    private fun weightOf(upstream: UpstreamId, router: String): Long =
        SeededRandom(seedOf("$router ${upstream.text}")).below(Long.MAX_VALUE)
}

/** Requests that one router may send to one cold upstream within [windowMillis]. */
data class ColdLimit(val sends: Int, val windowMillis: Long = WINDOW_MILLIS)

/** The bound for upstreams that tolerate [requestsPerSecond] while they are cold. */
fun coldBoundOf(requestsPerSecond: Double, settings: PaceSettings): ColdBound {
    val total = (requestsPerSecond * settings.coldOvershoot + settings.coldSlack).toInt().coerceAtLeast(1)
    val part = (total / LISTS).coerceAtLeast(1)
    val senders = part.coerceAtMost(MAXIMUM_SENDERS)
    return ColdBound(senders, sends = part / senders)
}
