/**
 * The leader's tables of requests that crash upstreams. The quarantines are in the replicated state too, so that they
 * survive a restart of all processes; the evidence is rebuilt from the reports of the routers.
 */
package org.ibismoor.coordination.api

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.ibismoor.core.api.RequestDigest
import org.ibismoor.core.api.Timestamp

data class RequestQuarantineTables(
    val evidence: RequestCrashTables = RequestCrashTables(),
    val quarantines: PersistentMap<RequestDigest, RequestQuarantineRow> = persistentHashMapOf(),
    /** When quarantines ended lately, since routers that have not heard of it still report them. */
    val ended: PersistentMap<RequestDigest, Timestamp> = persistentHashMapOf(),
    /** The quarantines of earlier leaders in the replicated state were taken over. */
    val isRestored: Boolean = false,
    /** The number of the proposal that brings the replicated state up to date. */
    val proposal: Long? = null,
) {
    val isEmpty: Boolean get() = evidence.isEmpty && quarantines.isEmpty() && ended.isEmpty()
}

data class RequestQuarantineRow(
    /** Crashes of the request, at least 2. */
    val crashes: Int,
    /** The last crash, or when it was taken over from an earlier leader. A later answer ends the quarantine. */
    val lastCrashAt: Timestamp,
    /** When it ends, or when the first probe is due. */
    val until: Timestamp,
    /** An earlier leader, whose evidence may be lost, or a router without one decided on it. */
    val isTakenOver: Boolean = false,
    val probe: ProbeRow? = null,
)
