/**
 * How current a router's configuration is: the newest version that the leader has named, and what has kept the router
 * from a newer one.
 */
package org.ibismoor.forwarding.api

import org.ibismoor.core.api.Timestamp

data class ConfigurationStatus(
    /** Highest version that the leader has named; 0 before its first answer. */
    val newestVersion: Long = 0,
    /** When the last report was sent that the leader has answered. Versions committed later may be unknown here. */
    val namedAt: Timestamp? = null,
    /** When the version in force came into force at this router. */
    val inForceSince: Timestamp? = null,
    /** Consecutive reports without an answer of the leader. */
    val lostReports: Int = 0,
    /** Cause of the last lost report. */
    val lastLoss: String? = null,
    /** The fetch in progress. */
    val fetch: ConfigurationFetch? = null,
    /** No fetch starts earlier. */
    val nextFetchAt: Timestamp = Timestamp(0),
    /** Failed fetches since the last successful one. */
    val failedFetches: Int = 0,
    /** Cause of the last failed fetch. */
    val lastFetchFailure: String? = null,
)

/** A fetch of [version] or a newer one from the control process on [host]. */
data class ConfigurationFetch(val version: Long, val host: String, val startedAt: Timestamp)
