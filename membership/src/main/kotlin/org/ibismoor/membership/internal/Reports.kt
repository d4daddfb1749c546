/**
 * Forwarding of upstream reports. A forwarded report has the leaving state combined from all sources, and its age
 * includes the time since this process received it.
 */
package org.ibismoor.membership.internal

import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.membership.api.UpstreamEntry
import org.ibismoor.membership.api.UpstreamReport

internal fun forwardedReport(id: UpstreamId, entry: UpstreamEntry, now: Timestamp): UpstreamReport {
    val sinceReceipt = now - entry.receivedAt
    val report = entry.report ?: UpstreamReport(id, 0, 0, isLeaving = false, startId = "", ageMillis = 0)
    return report.copy(isLeaving = entry.isLeaving, ageMillis = report.ageMillis + sinceReceipt)
}
