/**
 * An upstream as seen by this router.
 */
package org.ibismoor.routing.api

import org.ibismoor.configuration.api.Upstream
import org.ibismoor.core.api.Timestamp
import org.ibismoor.membership.api.UpstreamReport
import org.ibismoor.pacing.api.PaceRow

private const val LOAD_HALF_LIFE_MILLIS = 2_000.0

// Smoothing factor of the moving average.
private const val REPORT_WEIGHT = 0.25

/**
 * [inFlight] counts the running attempts of this router. [otherLoad] is the number of requests from other routers,
 * smoothed over the reports up to [report], which arrived at [reportedAt]. [failedConnects] counts connection failures
 * since the last answer, one for each ejection that they caused. [pace] limits [inFlight] after an ejection or a
 * restart. A row whose upstream [isRemoved] from the configuration stays until its last attempt ends.
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
    val pace: PaceRow = PaceRow(),
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
}
