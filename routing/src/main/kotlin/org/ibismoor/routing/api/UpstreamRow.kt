/**
 * An upstream as seen by this router.
 */
package org.ibismoor.routing.api

import org.ibismoor.configuration.api.Upstream
import org.ibismoor.core.api.Timestamp
import org.ibismoor.membership.api.UpstreamReport

private const val LOAD_HALF_LIFE_MILLIS = 2_000.0

// Smoothing factor of the moving average.
private const val REPORT_WEIGHT = 0.25

private const val SLOW_START_MILLIS = 10_000L
private const val SLOW_START_STEPS = 10L

/**
 * [inFlight] counts the running attempts of this router. [otherLoad] is the number of requests from other routers,
 * smoothed over the reports up to [report], which arrived at [reportedAt]. [failedConnects] counts connection failures
 * since the last answer, one for each ejection that they caused. [readmittedAt] is the end of the last ejection. A row
 * whose upstream [isRemoved] from the configuration stays until its last attempt ends.
 */
data class UpstreamRow(
    val upstream: Upstream,
    val inFlight: Int = 0,
    val otherLoad: Double = 0.0,
    val report: UpstreamReport? = null,
    val reportedAt: Timestamp = Timestamp(0),
    val leavingStartId: String? = null,
    val isLeaving: Boolean = false,
    val isRemoved: Boolean = false,
    val failures: Int = 0,
    val ejections: Int = 0,
    val failedConnects: Int = 0,
    val ejectedUntil: Timestamp? = null,
    val readmittedAt: Timestamp? = null,
) {
    val isUsable: Boolean get() = !isLeaving && !isRemoved && ejectedUntil == null

    /**
     * Estimated requests at the upstream: the exact number of this router's own attempts plus the reported load of
     * other routers, which decays as the last report ages.
     */
    fun load(now: Timestamp): Double {
        val lastReport = report ?: return inFlight.toDouble()
        val age = (now - reportedAt + lastReport.ageMillis).coerceAtLeast(0)
        return inFlight + Math.pow(2.0, -age / LOAD_HALF_LIFE_MILLIS) * otherLoad
    }

    /** Smooths the reported load: a report is older than [inFlight], so the difference of the two is inexact. */
    fun withReport(next: UpstreamReport, now: Timestamp): UpstreamRow {
        val observed = (next.running + next.waiting - inFlight).coerceAtLeast(0)
        return copy(report = next, reportedAt = now, otherLoad = otherLoad + (observed - otherLoad) * REPORT_WEIGHT)
    }

    /** Fraction of the usual traffic, in tenths, that the upstream gets after an ejection. */
    fun slowStartTenths(now: Timestamp): Long {
        val elapsed = readmittedAt?.let { now - it } ?: SLOW_START_MILLIS
        return (elapsed * SLOW_START_STEPS / SLOW_START_MILLIS + 1).coerceIn(1, SLOW_START_STEPS)
    }
}
