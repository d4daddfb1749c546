/**
 * A hundred routers as tables, with upstreams that start, become cold or return with their domain. Each router learns
 * of a change with a delay of its own, and not at all while it is cut off from the leader. Requests arrive at an
 * upstream with another delay, so that those that were sent apart may arrive together.
 */
package org.ibismoor.pacing

import kotlinx.collections.immutable.persistentListOf
import org.ibismoor.core.api.SeededRandom
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.pacing.api.ColdBound
import org.ibismoor.pacing.api.ColdLimit
import org.ibismoor.pacing.api.PaceEvent
import org.ibismoor.pacing.api.PaceRow
import org.ibismoor.pacing.api.PaceSettings
import org.ibismoor.pacing.api.SharedSlots
import org.ibismoor.pacing.api.after
import org.ibismoor.pacing.api.coldBoundOf

private const val STEP_MILLIS = 10L
private const val BUSY_PART = 3L
private const val WAY_MILLIS = 200L
private const val MILLIS_PER_SECOND = 1_000L
internal const val COLD_START_MILLIS = 3_000L

/** Age of the platform's list and the interval at which it is read and passed on. */
private const val LEAST_LAG_MILLIS = 100L
private const val LAG_SPREAD_MILLIS = 1_500L

internal val COLD_SETTINGS = PaceSettings(coldOvershoot = 1.5, coldSlack = 5.0)
internal const val BOUND = 32
private const val COLD_PER_SECOND = 18.0

internal class ColdFleet(
    private val routerCount: Int = 100,
    private val upstreamCount: Int = 42,
    private val requestsPerSecond: Double = 536.0,
    seed: Long = 1,
) {
    /** [learnsAt] is when each router learns of it. The event is the same for all. */
    private class News(val upstream: Int, val event: PaceEvent, val learnsAt: LongArray)

    private val bound: ColdBound = coldBoundOf(COLD_PER_SECOND, COLD_SETTINGS)
    private val names = List(routerCount) { "10.0.0.$it:80" }
    private val upstreams = List(upstreamCount) { UpstreamId("engine-$it") }
    private val shared = SharedSlots(slots = 64, routers = routerCount)
    private val rows = Array(routerCount) { Array(upstreamCount) { PaceRow() } }

    /** The routers that each router knows of. */
    private val views = Array(routerCount) { names }
    private val isListed = Array(routerCount) { BooleanArray(upstreamCount) { true } }
    private val isCut = BooleanArray(routerCount)
    private val downUntil = LongArray(routerCount)
    private val pending = mutableListOf<News>()
    private var random = SeededRandom(seed)
    private var arriving = 0.0

    /** Times at which requests arrived at each upstream. */
    val arrivals = List(upstreamCount) { mutableListOf<Long>() }
    var refused = 0
        private set
    var now = 0L
        private set

    fun draw(limit: Long): Long = random.below(limit).also { random = random.advance() }

    /** The upstream is out of service until [start]. */
    fun remove(upstream: Int) = isListed.forEach { it[upstream] = false }

    /** The upstream starts now, and routers learn of it with the list. */
    fun start(upstream: Int) = announce(upstream, PaceEvent.Returned(COLD_START_MILLIS))

    /** A used upstream becomes cold now, without a restart that anybody sees. */
    fun chill(upstream: Int) = announce(upstream, PaceEvent.BecameCold(COLD_START_MILLIS))

    private fun announce(upstream: Int, event: PaceEvent) {
        pending += News(upstream, event, LongArray(routerCount) { now + LEAST_LAG_MILLIS + draw(LAG_SPREAD_MILLIS) })
    }

    /** Cuts [cut] off from the leader; the others soon list only those that are left. */
    fun cut(cut: Set<Int>) {
        cut.forEach { isCut[it] = true }
        val left = names.filterIndexed { index, _ -> index !in cut }
        names.indices.filter { it !in cut }.forEach { views[it] = left }
    }

    fun heal() {
        isCut.fill(false)
        views.fill(names)
    }

    /** The process ends and is back after [millis], without memory of what it sent. */
    fun restart(router: Int, millis: Long) {
        downUntil[router] = now + millis
        rows[router] = Array(upstreamCount) { rows[router][it].copy(ramp = null, sends = persistentListOf()) }
    }

    fun run(millis: Long) {
        val end = now + millis
        while (now < end) {
            now += STEP_MILLIS
            deliverNews()
            arriving += requestsPerSecond * STEP_MILLIS / MILLIS_PER_SECOND
            repeat(arriving.toInt()) { sendRequest(busyRouter()) }
            arriving -= arriving.toInt()
        }
    }

    private fun deliverNews() {
        pending.forEach { news ->
            names.indices.filter { !isCut[it] && news.learnsAt[it] <= now }.forEach { router ->
                news.learnsAt[router] = Long.MAX_VALUE
                isListed[router][news.upstream] = true
                apply(router, news.upstream, news.event)
            }
        }
        pending.removeAll { news -> news.learnsAt.all { it == Long.MAX_VALUE } }
    }

    /** A third of the routers gets two thirds of the requests. */
    private fun busyRouter(): Int {
        val isBusy = draw(BUSY_PART) > 0
        return draw(if (isBusy) routerCount / BUSY_PART else routerCount.toLong()).toInt()
    }

    private fun sendRequest(router: Int) {
        if (downUntil[router] > now) return
        val usable = upstreams.indices.filter { upstream ->
            isListed[router][upstream] && isAllowed(router, upstream)
        }
        if (usable.isEmpty()) {
            refused++
        } else {
            val untried = usable.filter { rows[router][it].isUntried(ColdLimit(sends = 1), Timestamp(now)) }
            val preferred = untried.ifEmpty { leastLoaded(router, usable) }
            val upstream = preferred[draw(preferred.size.toLong()).toInt()]
            apply(router, upstream, PaceEvent.Sent)
            arrivals[upstream] += now + draw(WAY_MILLIS)
        }
    }

    /** The upstreams with the fewest requests of [router] within the last second. */
    private fun leastLoaded(router: Int, usable: List<Int>): List<Int> {
        val recent = usable.groupBy { upstream ->
            rows[router][upstream].sends.count { now - it.millis < MILLIS_PER_SECOND }
        }
        return recent.getValue(recent.keys.min())
    }

    private fun isAllowed(router: Int, upstream: Int): Boolean {
        val row = rows[router][upstream]
        return !row.isCold(Timestamp(now)) || row.allowsCold(limitOf(router, upstream), Timestamp(now))
    }

    private fun limitOf(router: Int, upstream: Int): ColdLimit =
        bound.limitOf(upstreams[upstream], names[router], views[router])

    private fun apply(router: Int, upstream: Int, event: PaceEvent) {
        rows[router][upstream] = rows[router][upstream].after(event, shared, COLD_SETTINGS, Timestamp(now))
    }
}

/** Largest number of arrivals at [upstream] in one second between [from] and [until]. */
internal fun ColdFleet.mostInOneSecond(upstream: Int, from: Long, until: Long): Int {
    val times = arrivals[upstream].filter { it in from until until }.sorted()
    return times.indices.maxOfOrNull { first -> times.count { it - times[first] in 0 until MILLIS_PER_SECOND } } ?: 0
}

internal fun ColdFleet.arrivedBetween(upstream: Int, from: Long, until: Long): Int =
    arrivals[upstream].count { it in from until until }
