/**
 * What the router knows of the rest of the fleet, and its reports to the leader.
 */
package org.ibismoor.forwarding.api

import org.ibismoor.coordination.api.RouterEntry
import org.ibismoor.core.api.Timestamp

data class FleetRow(
    /** Hosts of control processes; the first one is asked next. */
    val hosts: List<String>,
    val routers: List<RouterEntry> = emptyList(),
    val upstreamRevision: Long = 0,
    /** When the leader last answered. */
    val answeredAt: Timestamp? = null,
    val reportAt: Timestamp,
    val isReporting: Boolean = false,
    val reportedAt: Timestamp = reportAt,
    /** Requests since the last report. */
    val arrived: Int = 0,
    /** When other routers are told what this one has sent to upstreams; null if there is nothing new. */
    val useDueAt: Timestamp? = null,
    /** Requests a second, exponentially weighted. */
    val requestsPerSecond: Double = 0.0,
)
