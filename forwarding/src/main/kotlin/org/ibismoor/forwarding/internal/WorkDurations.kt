/**
 * How long an upstream takes for its work compared with the others of its group. Two measures are combined: the present
 * duration that the upstream reports with its load, which changes within a second, and the mean time between the events
 * of its streams, which shows lasting differences. Both answer a load of unequal engines: with equal shares, the slow
 * ones answer late while the fast ones idle.
 *
 * Only upstreams that report the present duration are measured, so the selection among others does not change.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.core.api.Timestamp
import org.ibismoor.forwarding.api.Delivered
import org.ibismoor.forwarding.api.EventGapRow
import org.ibismoor.forwarding.api.RequestRow
import org.ibismoor.forwarding.api.UpstreamRow
import kotlin.math.pow

private const val USUAL_PERCENT = 100.0

/** The reported duration loses its weight within this time, since it changes many times a second. */
private const val REPORT_MAXIMUM_AGE_MILLIS = 800.0

/** Events of a stream from which its gaps are measured; in fewer, a single pause would decide. */
private const val MINIMUM_EVENTS = 4

/** Measurements that count as much as the group's mean, so that one slow stream does not mark its upstream as slow. */
private const val PRIOR_WEIGHT = 1.0
private const val MAXIMUM_WEIGHT = 20.0

/** Half-life of the weight of a measurement; a rarely used upstream returns to the group's mean. */
private const val WEIGHT_HALF_LIFE_MILLIS = 20_000.0

/** Bounds on the combined measure: a wrong measurement takes no upstream out of use. */
private const val MINIMUM_DURATION = 0.4
private const val MAXIMUM_DURATION = 4.0

/** Expected duration of work at each of the [candidates], relative to a usual one; 1 where nothing is known. */
internal class WorkDurations(candidates: List<UpstreamRow>, private val now: Timestamp) {
    private val groupGapMillis: Double? =
        candidates.mapNotNull { it.eventGap?.meanMillis }.takeIf { it.isNotEmpty() }?.average()

    fun of(row: UpstreamRow): Double =
        (reported(row) * measured(row)).coerceIn(MINIMUM_DURATION, MAXIMUM_DURATION)

    private fun reported(row: UpstreamRow): Double {
        val load = row.load
        val percent = load?.workTimePercent ?: return 1.0
        val weight = (1 - (now - load.reportedAt) / REPORT_MAXIMUM_AGE_MILLIS).coerceIn(0.0, 1.0)
        return 1 + (percent / USUAL_PERCENT - 1) * weight
    }

    private fun measured(row: UpstreamRow): Double {
        val gap = row.eventGap
        if (gap == null || groupGapMillis == null || groupGapMillis <= 0) return 1.0
        val weight = gap.weightAt(now)
        return (gap.meanMillis / groupGapMillis * weight + PRIOR_WEIGHT) / (weight + PRIOR_WEIGHT)
    }
}

/** Adds the gaps of the stream that [result] ended, if all of it came from this upstream. */
internal fun UpstreamRow.withMeasuredGap(request: RequestRow, result: Delivered, now: Timestamp): UpstreamRow {
    val firstEventAt = request.firstEventAt
    val isWhole = request.triedUpstreams.size == 1 && request.head.continuation == null
    val isMeasured = load?.workTimePercent != null && isWhole && result.events >= MINIMUM_EVENTS
    if (firstEventAt == null || !isMeasured) return this
    return copy(eventGap = eventGap.with((now - firstEventAt).toDouble() / (result.events - 1), now))
}

private fun EventGapRow?.with(gapMillis: Double, now: Timestamp): EventGapRow {
    val weight = this?.weightAt(now)?.coerceAtMost(MAXIMUM_WEIGHT) ?: 0.0
    val sum = (this?.meanMillis ?: 0.0) * weight + gapMillis
    return EventGapRow(sum / (weight + 1), weight + 1, now)
}

private fun EventGapRow.weightAt(now: Timestamp): Double =
    weight * 0.5.pow((now - updatedAt) / WEIGHT_HALF_LIFE_MILLIS)
