/**
 * How often the requests of an upstream group have got room lately: an exponentially weighted rate, corrected for the
 * time before the first request.
 */
package org.ibismoor.admission.api

import org.ibismoor.core.api.Timestamp
import kotlin.math.exp

/** Short enough that the loss of a third of the upstreams shows within the shortest deadlines of a few seconds. */
private const val AVERAGING_MILLIS = 1_000.0

/** A rate from fewer requests or a shorter time says little. */
private const val MINIMUM_WEIGHT = 3.0
private const val MINIMUM_AGE_MILLIS = 200L

data class ReleaseRow(
    val weight: Double = 0.0,
    val startedAt: Timestamp? = null,
    val updatedAt: Timestamp = Timestamp(0),
) {
    fun withRelease(now: Timestamp): ReleaseRow =
        ReleaseRow(weightAt(now) + 1, startedAt ?: now, now)

    /** Requests for each millisecond; null while too few have got room. */
    fun rateAt(now: Timestamp): Double? {
        val age = startedAt?.let { now - it } ?: 0
        if (age < MINIMUM_AGE_MILLIS || weight < MINIMUM_WEIGHT) return null
        return weightAt(now) / (AVERAGING_MILLIS * (1 - exp(-age / AVERAGING_MILLIS)))
    }

    private fun weightAt(now: Timestamp): Double = weight * exp(-(now - updatedAt) / AVERAGING_MILLIS)
}
