/**
 * An upstream as this router knows it.
 */
package org.ibismoor.routing.api

import org.ibismoor.configuration.api.Upstream
import org.ibismoor.core.api.Timestamp
import org.ibismoor.membership.api.UpstreamReport

private const val LOAD_HALF_LIFE_MILLIS = 2_000.0
private const val SLOW_START_MILLIS = 10_000L
private const val SLOW_START_STEPS = 10L

/**
 * [inFlight] counts this router's attempts under way and [inFlightAtReport] their count when [report] arrived at
 * [reportedAt]. [failedConnects] counts failed connects since the last answer, one for each ejection that they caused.
 * [returnedAt] is the end of the last ejection. A row whose upstream [isRemoved] from the configuration
 * stays until its last attempt ends.
 */
data class UpstreamRow(
    val upstream: Upstream,
    val inFlight: Int = 0,
    val inFlightAtReport: Int = 0,
    val report: UpstreamReport? = null,
    val reportedAt: Timestamp = Timestamp(0),
    val leavingStartId: String? = null,
    val isLeaving: Boolean = false,
    val isRemoved: Boolean = false,
    val failures: Int = 0,
    val ejections: Int = 0,
    val failedConnects: Int = 0,
    val ejectedUntil: Timestamp? = null,
    val returnedAt: Timestamp? = null,
) {
    val isUsable: Boolean get() = !isLeaving && !isRemoved && ejectedUntil == null

    /**
     * Requests at the upstream: the reported load corrected by this router's own changes since, which fades into this
     * router's own count as the report ages. Reports lag, so an old one says little about the present.
     */
    fun load(now: Timestamp): Double {
        val known = report ?: return inFlight.toDouble()
        val age = (now - reportedAt + known.ageMillis).coerceAtLeast(0)
        val weight = Math.pow(2.0, -age / LOAD_HALF_LIFE_MILLIS)
        val corrected = known.running + known.waiting + inFlight - inFlightAtReport
        return weight * corrected.coerceAtLeast(inFlight) + (1 - weight) * inFlight
    }

    /** Part of its usual traffic, in tenths, that an upstream gets after an ejection. */
    fun slowStartTenths(now: Timestamp): Long {
        val since = returnedAt?.let { now - it } ?: SLOW_START_MILLIS
        return (since * SLOW_START_STEPS / SLOW_START_MILLIS + 1).coerceIn(1, SLOW_START_STEPS)
    }
}
