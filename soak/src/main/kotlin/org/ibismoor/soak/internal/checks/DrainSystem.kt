/**
 * Checks that an upstream that is leaving gets no new work after the time limit.
 */
package org.ibismoor.soak.internal.checks

import org.ibismoor.core.api.Timestamp
import org.ibismoor.soak.api.AttemptBegan
import org.ibismoor.soak.api.AttemptFinished
import org.ibismoor.soak.api.AttemptReceived
import org.ibismoor.soak.api.AttemptRow
import org.ibismoor.soak.api.CheckSettings
import org.ibismoor.soak.api.CheckTables
import org.ibismoor.soak.api.Guarantee
import org.ibismoor.soak.api.Observation
import org.ibismoor.soak.api.UpstreamLeaving
import org.ibismoor.soak.internal.MISDIRECTED_REQUEST

/** Time after which an upstream that was to leave has gone for certain. */
private const val UPSTREAM_RETENTION_MILLIS = 600_000L

internal class DrainSystem(private val settings: CheckSettings) : ObservationSystem {
    override fun observe(tables: CheckTables, observation: Observation): CheckStep =
        when (observation) {
            is UpstreamLeaving -> CheckStep(recordLeaving(tables, observation))
            is AttemptReceived ->
                CheckStep(tables.withExercised(Guarantee.DRAIN, observation.upstream in tables.leavingUpstreams))
            is AttemptBegan -> checkAttempt(tables, tables.attemptBegunBy(observation), observation.at)
            is AttemptFinished -> checkAttempt(tables, attemptRefusedBy(tables, observation), observation.at)
            else -> CheckStep(tables)
        }

    private fun recordLeaving(tables: CheckTables, leaving: UpstreamLeaving): CheckTables {
        if (leaving.upstream in tables.leavingUpstreams) return tables
        val gone = tables.leavingUpstreams.filterValues { leaving.at - it > UPSTREAM_RETENTION_MILLIS }.keys
        val rest = gone.fold(tables.leavingUpstreams) { rows, upstream -> rows.remove(upstream) }
        return tables.copy(leavingUpstreams = rest.put(leaving.upstream, leaving.at))
    }

    /** A misdirected attempt was meant for another upstream that had the same address. */
    private fun attemptRefusedBy(tables: CheckTables, finished: AttemptFinished): AttemptRow? =
        tables.attempts[finished.attempt]?.takeIf {
            it.finished === finished && finished.refusedWith != null && finished.refusedWith != MISDIRECTED_REQUEST
        }

    private fun checkAttempt(tables: CheckTables, attempt: AttemptRow?, at: Timestamp): CheckStep {
        val received = attempt?.received
        val leavingAt = received?.let { tables.leavingUpstreams[it.upstream] }
        val router = received?.let { tables.requests[it.request] }?.sent?.router
        if (leavingAt == null || router == null) return CheckStep(tables)
        val delay = received.at - leavingAt
        val isLate = delay > settings.drainMillis && settings.isInTouch(tables, router, received.at)
        val details = "${router.text} sent it to ${received.upstream} $delay ms after the notice".takeIf { isLate }
        return checked(tables, Guarantee.DRAIN, at, received.request, details)
    }
}
