/**
 * Reports of upstreams as they are passed on: with the leaving state of all sources and with the time for which this
 * process has held them added to their age.
 */
package org.ibismoor.membership.internal

import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.membership.api.UpstreamEntry
import org.ibismoor.membership.api.UpstreamReport

internal fun passedOn(id: UpstreamId, entry: UpstreamEntry, now: Timestamp): UpstreamReport {
    val held = now - entry.receivedAt
    val report = entry.report ?: UpstreamReport(id, 0, 0, isLeaving = false, startId = "", ageMillis = 0)
    return report.copy(isLeaving = entry.isLeaving, ageMillis = report.ageMillis + held)
}
