/**
 * Changes of the limit of requests in flight. The limit starts at this router's part of the slots and doubles with each
 * round of answers. A refusal or a long delay halves it, and then it rises by one a round. At the slots of the upstream
 * the limit ends, since the upstream then refuses or the selection avoids it by its load.
 */
package org.ibismoor.pacing.internal

import kotlinx.collections.immutable.toPersistentList
import org.ibismoor.core.api.Timestamp
import org.ibismoor.pacing.api.AdaptiveLimit
import org.ibismoor.pacing.api.PaceEvent
import org.ibismoor.pacing.api.PaceRow
import org.ibismoor.pacing.api.PaceSettings
import org.ibismoor.pacing.api.RampRow
import org.ibismoor.pacing.api.SharedSlots

/** Sends that are kept; more than one router may send to a cold upstream within a window. */
private const val KEPT_SENDS = 64

/** Weight of the latest answer in the smoothed delay. */
private const val NEWEST_WEIGHT = 0.25

/** Rise of the best delay with each long delay. */
private const val BEST_RISE = 1.25

internal fun PaceRow.withSend(now: Timestamp): PaceRow =
    copy(sends = (sends.takeLast(KEPT_SENDS - 1) + now).toPersistentList())

internal fun PaceRow.withRamp(shared: SharedSlots, settings: PaceSettings, now: Timestamp): PaceRow {
    val isLimited = shared.firstLimit < shared.slots
    val opensAt = now + drawnMillis(shared, settings.roundMillis.toDouble())
    val started = RampRow(shared.firstLimit, isDoubling = true, now, opensAt, measuredFrom = now)
    return copy(ramp = started.takeIf { isLimited }, random = random.advance())
}

/** A time over which as many routers may send one after the other as there are more routers than slots. */
private fun PaceRow.drawnMillis(shared: SharedSlots, roundMillis: Double): Long {
    val rounds = if (shared.isScarce) shared.routers.toDouble() / shared.slots - 1 else 0.0
    return random.below((rounds * roundMillis).toLong() + 1)
}

internal fun PaceRow.withAnswer(
    event: PaceEvent.Answered,
    shared: SharedSlots,
    settings: PaceSettings,
    now: Timestamp,
): PaceRow {
    val current = ramp?.takeIf { now - it.measuredFrom >= event.delayMillis } ?: return this
    val sample = event.delayMillis / event.work
    val delay = current.delayMillis?.let { it + (sample - it) * NEWEST_WEIGHT } ?: sample
    val best = minOf(current.bestMillis ?: delay, delay)
    val measured = current.copy(delayMillis = delay, bestMillis = best)
    return if (delay > best * settings.delayFactor) {
        val slower = measured.copy(bestMillis = best * BEST_RISE)
        copy(ramp = slower).withDecrease(event.active, shared, settings, now)
    } else {
        val limit = AdaptiveLimit.raised(current.limit, event.active, current.isDoubling)
        copy(ramp = measured.copy(limit = limit).takeIf { limit < shared.slots })
    }
}

internal fun PaceRow.withDecrease(
    active: Int,
    shared: SharedSlots,
    settings: PaceSettings,
    now: Timestamp,
): PaceRow {
    val isLimited = ramp != null
    val current = ramp ?: RampRow(shared.slots.toDouble(), isDoubling = false, now, now, measuredFrom = now)
    val counted = if (isLimited) active + 1 else minOf(active + 1, shared.slots)
    val limit = AdaptiveLimit.lowered(current.limit, counted, settings.decreaseFactor, minimum = 1.0)
    if (isLimited && active + 1 > current.limit) return this
    val wait = if (limit <= 1.0) drawnMillis(shared, current.bestMillis ?: settings.roundMillis.toDouble()) else 0
    val lowered = current.copy(
        limit = limit,
        isDoubling = false,
        opensAt = maxOf(current.opensAt, now + wait),
        measuredFrom = now,
        delayMillis = null,
    )
    return copy(ramp = lowered, random = random.advance())
}
