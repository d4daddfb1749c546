/**
 * State of the router's reports to the leader, and the part of the fleet that the leader has listed.
 */
package org.ibismoor.forwarding.api

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf
import org.ibismoor.coordination.api.EvacuationList
import org.ibismoor.coordination.api.RouterEntry
import org.ibismoor.core.api.Timestamp

data class FleetRow(
    /** Hosts of control processes; the next report goes to the first one. */
    val controlHosts: List<String>,
    /** Hosts of control processes in the settings. */
    val seedHosts: List<String> = controlHosts,
    val routers: List<RouterEntry> = emptyList(),
    /** Addresses of [routers] that have no contact with the leader; known only while this router has none either. */
    val separatedRouters: PersistentSet<String> = persistentHashSetOf(),
    val upstreamRevision: Long = 0,
    /** When the leader last answered. */
    val leaderAnsweredAt: Timestamp? = null,
    val nextReportAt: Timestamp,
    /** Reports in a row that each host has not answered; hosts that answered the last one are left out. */
    val lostReports: PersistentMap<String, Int> = persistentHashMapOf(),
    /** A report is in flight. */
    val isReporting: Boolean = false,
    val lastReportAt: Timestamp = nextReportAt,
    /** Requests that have arrived since the last report. */
    val requestsSinceReport: Int = 0,
    /** When the next load notice is sent to the other routers; null if there is nothing to report. */
    val loadNoticeDueAt: Timestamp? = null,
    /** Rate of arriving requests, exponentially weighted. */
    val requestsPerSecond: Double = 0.0,
    /** The newest list that a replica has answered with; null before the first one. */
    val evacuations: EvacuationList? = null,
)
