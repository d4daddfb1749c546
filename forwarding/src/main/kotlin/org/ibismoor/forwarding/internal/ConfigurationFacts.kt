/**
 * Facts for the log about the configuration that decided on a request: its version and age, and why the router has no
 * newer one.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.core.api.Timestamp
import org.ibismoor.forwarding.api.Fact
import org.ibismoor.forwarding.api.ForwardingTables

internal fun configurationFacts(tables: ForwardingTables, now: Timestamp): List<Fact> {
    val status = tables.configurationStatus
    return listOf(
        Fact("version", tables.configuration?.version),
        Fact("newest_version", status.newestVersion),
        Fact("in_force_ms", status.inForceSince?.let { now - it }),
        Fact("named_age_ms", status.namedAt?.let { now - it }),
        Fact("control_age_ms", tables.fleet.leaderAnsweredAt?.let { now - it }),
        Fact("lost_reports", status.lostReports),
        Fact("last_loss", status.lastLoss),
        Fact("fetch_ms", status.fetch?.let { now - it.startedAt }),
        Fact("failed_fetches", status.failedFetches),
        Fact("last_fetch_failure", status.lastFetchFailure),
    )
}
