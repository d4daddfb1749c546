/**
 * One upstream and many routers in steps of virtual time. Requests that the pace of a router does not allow go to other
 * upstreams, which the simulation leaves out.
 */
package org.ibismoor.pacing

import org.ibismoor.core.api.SeededRandom
import org.ibismoor.core.api.Timestamp
import org.ibismoor.pacing.api.PaceEvent
import org.ibismoor.pacing.api.PaceRow
import org.ibismoor.pacing.api.PaceSettings
import org.ibismoor.pacing.api.SharedSlots
import org.ibismoor.pacing.api.after

private const val STEP_MILLIS = 5L
private const val PERCENT = 100L
private const val MILLIS_PER_SECOND = 1_000L

/** Times of work vary by this much in both directions, in percent. */
private const val VARIATION = 20L

/** Upstreams refuse requests while they hold this multiple of their slots. */
private const val REFUSAL_FACTOR = 4

internal data class RampResult(
    /** Time from the start until all slots were busy; null if they never were. */
    val fullUseMillis: Long?,
    /** Largest number of requests that waited at the upstream. */
    val largestExcess: Int,
    val refusals: Int,
    val served: Int,
)

internal class RampSimulation(
    private val routers: Int,
    private val slots: Int,
    private val workMillis: (Long) -> Long,
    private val requestsPerSecond: Double,
    private val isPaced: Boolean = true,
) {
    private class Held(val router: Int, val sentAt: Long, var endsAt: Long?)

    private val settings = PaceSettings()
    private val shared = SharedSlots(slots, routers)
    private val rows = Array(routers) { PaceRow(random = SeededRandom(it * 7919L)) }
    private val active = IntArray(routers)
    private val held = mutableListOf<Held>()
    private var random = SeededRandom(1)
    private var arrivals = 0.0
    private var fullUseMillis: Long? = null
    private var largestExcess = 0
    private var refusals = 0
    private var served = 0

    fun run(millis: Long): RampResult {
        rows.indices.forEach { apply(it, PaceEvent.Returned(0), 0) }
        for (now in 0..millis step STEP_MILLIS) {
            endRequests(now)
            arrivals += requestsPerSecond * STEP_MILLIS / MILLIS_PER_SECOND
            repeat(arrivals.toInt()) { sendRequest(draw(routers.toLong()).toInt(), now) }
            arrivals -= arrivals.toInt()
            startWork(now)
            largestExcess = maxOf(largestExcess, held.size - slots)
            if (fullUseMillis == null && held.size >= slots) fullUseMillis = now
        }
        return RampResult(fullUseMillis, largestExcess, refusals, served)
    }

    private fun endRequests(now: Long) {
        val ended = held.filter { (it.endsAt ?: Long.MAX_VALUE) <= now }
        held.removeAll(ended)
        ended.forEach {
            active[it.router]--
            served++
            apply(it.router, PaceEvent.Answered(now - it.sentAt, active[it.router]), now)
        }
    }

    private fun sendRequest(router: Int, now: Long) {
        if (isPaced && !rows[router].allows(active[router], limit = null, Timestamp(now))) return
        apply(router, PaceEvent.Sent, now)
        if (held.size >= REFUSAL_FACTOR * slots) {
            refusals++
            apply(router, PaceEvent.Refused(active[router]), now)
        } else {
            active[router]++
            held += Held(router, now, endsAt = null)
        }
    }

    private fun startWork(now: Long) {
        val free = slots - held.count { it.endsAt != null }
        held.filter { it.endsAt == null }.take(free.coerceAtLeast(0)).forEach {
            it.endsAt = now + workMillis(now) * (PERCENT - VARIATION + draw(2 * VARIATION)) / PERCENT
        }
    }

    private fun apply(router: Int, event: PaceEvent, now: Long) {
        rows[router] = rows[router].after(event, shared, settings, Timestamp(now))
    }

    private fun draw(bound: Long): Long = random.below(bound).also { random = random.advance() }
}
