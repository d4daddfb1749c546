/**
 * An upstream as this router knows it.
 */
package org.ibismoor.routing.api

import org.ibismoor.configuration.api.Upstream
import org.ibismoor.core.api.Timestamp
import org.ibismoor.membership.api.UpstreamReport

private const val LOAD_HALF_LIFE_MILLIS = 2_000.0

// Part of the smoothed load that the newest report makes up.
private const val REPORT_PART = 0.25

private const val SLOW_START_MILLIS = 10_000L
private const val SLOW_START_STEPS = 10L

/**
 * [inFlight] counts this router's attempts under way and [others] the requests of other routers, smoothed over the
 * reports up to [report], which arrived at [reportedAt]. [failedConnects] counts failed connects since the last answer,
 * one for each ejection that they caused. [returnedAt] is the end of the last ejection. A row whose upstream
 * [isRemoved] from the configuration stays until its last attempt ends.
 */
data class UpstreamRow(
    val upstream: Upstream,
    val inFlight: Int = 0,
    val others: Double = 0.0,
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
     * Requests at the upstream: this router's own attempts, which it knows at once, and what the reports say about
     * other routers, which fades as the last report ages.
     */
    fun load(now: Timestamp): Double {
        val known = report ?: return inFlight.toDouble()
        val age = (now - reportedAt + known.ageMillis).coerceAtLeast(0)
        return inFlight + Math.pow(2.0, -age / LOAD_HALF_LIFE_MILLIS) * others
    }

    /** The row after [next] arrived. A report is older than the own count, so a single one says little. */
    fun reported(next: UpstreamReport, now: Timestamp): UpstreamRow {
        val seen = (next.running + next.waiting - inFlight).coerceAtLeast(0)
        return copy(report = next, reportedAt = now, others = others + (seen - others) * REPORT_PART)
    }

    /** Part of its usual traffic, in tenths, that an upstream gets after an ejection. */
    fun slowStartTenths(now: Timestamp): Long {
        val since = returnedAt?.let { now - it } ?: SLOW_START_MILLIS
        return (since * SLOW_START_STEPS / SLOW_START_MILLIS + 1).coerceIn(1, SLOW_START_STEPS)
    }
}
