/**
 * The leader's decisions on requests that crash upstreams, for its answers to reports.
 */
package org.ibismoor.coordination.internal

import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.CrashedRequestRow
import org.ibismoor.coordination.api.QuarantinedRequest
import org.ibismoor.coordination.api.RequestQuarantineTables
import org.ibismoor.coordination.api.RequestQuarantineUpdate
import org.ibismoor.coordination.api.RouterReport
import org.ibismoor.core.api.RequestDigest
import org.ibismoor.core.api.Timestamp

private const val MAXIMUM_SUSPECTS = 64

/** A suspect is named for this long after its last crash; routers remember their answers no longer in a busy fleet. */
private const val SUSPICION_MILLIS = 60_000L

/** Answers reports of one tick on the same tables. */
internal class RequestQuarantineAnswers(tables: CoordinationTables) {
    private val now = tables.consensus.now

    /** A report may be answered in the tick in which a new leader first applies all earlier entries. */
    private val table by lazy { tables.withRestoredQuarantines().requestQuarantine }
    private val suspects by lazy { table.suspects(now) }

    /** The decisions on requests for a router; null if there are none and the router knows of none. */
    fun updateFor(report: RouterReport): RequestQuarantineUpdate? {
        if (suspects.isEmpty() && table.quarantines.isEmpty() && report.requests == null) return null
        val quarantines = table.quarantines.map { (digest, row) ->
            val remaining = (row.until - now).coerceAtLeast(0)
            QuarantinedRequest(digest, row.crashes, remaining, isProbeAllowed = row.probe?.router == report.router)
        }
        return RequestQuarantineUpdate(suspects, quarantines)
    }
}

private fun RequestQuarantineTables.suspects(now: Timestamp): List<RequestDigest> =
    evidence.requests.entries
        .filter { (digest, row) -> digest !in quarantines && row.isSuspect(now) }
        .sortedWith(compareBy({ (_, row) -> -row.count }, { (_, row) -> -(row.lastCrashAt?.millis ?: 0) }))
        .take(MAXIMUM_SUSPECTS)
        .map { it.key }

private fun CrashedRequestRow.isSuspect(now: Timestamp): Boolean =
    lastCrashAt?.let { now - it <= SUSPICION_MILLIS } ?: false
