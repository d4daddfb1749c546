/**
 * The usual rate of an organisation's requests at one router, and whether it is far above it. Requests above the limit
 * do not count towards the usual rate, so that an organisation does not become used to its excess at once.
 */
package org.ibismoor.admission.api

import org.ibismoor.core.api.Timestamp
import kotlin.math.exp

/** The usual rate is that of the last two minutes, which is longer than most excesses last. */
private const val AVERAGING_MILLIS = 120_000.0

/** Before this age there is no usual rate to compare with. */
private const val LEARNING_MILLIS = 5_000L

/** An organisation may send this multiple of its usual rate. */
private const val RATE_LIMIT_FACTOR = 3.0

/** Requests that may come together: a fixed number, since callers repeat and rates are low, and those of a time. */
private const val BURST_REQUESTS = 6.0
private const val BURST_MILLIS = 1_000.0

/** [credit] is the number of requests that may still come at once. */
data class RateRow(
    val startedAt: Timestamp,
    val updatedAt: Timestamp,
    val weight: Double = 0.0,
    val credit: Double = BURST_REQUESTS,
    val isAboveUsual: Boolean = false,
) {
    /** Counts a request. [floor] is a rate for each millisecond up to which no organisation is above its usual one. */
    fun withArrival(now: Timestamp, floor: Double): RateRow {
        val limit = maxOf(rateAt(now), floor) * RATE_LIMIT_FACTOR
        val refilled = minOf(BURST_REQUESTS + limit * BURST_MILLIS, credit + limit * (now - updatedAt))
        val isAbove = refilled < 1 && now - startedAt >= LEARNING_MILLIS
        return copy(
            updatedAt = now,
            weight = weightAt(now) + if (isAbove) 0 else 1,
            credit = if (isAbove) refilled else (refilled - 1).coerceAtLeast(0.0),
            isAboveUsual = isAbove,
        )
    }

    /** Usual requests for each millisecond. */
    fun rateAt(now: Timestamp): Double {
        val age = maxOf(now - startedAt, LEARNING_MILLIS)
        return weightAt(now) / (AVERAGING_MILLIS * (1 - exp(-age / AVERAGING_MILLIS)))
    }

    private fun weightAt(now: Timestamp): Double = weight * exp(-(now - updatedAt) / AVERAGING_MILLIS)
}
