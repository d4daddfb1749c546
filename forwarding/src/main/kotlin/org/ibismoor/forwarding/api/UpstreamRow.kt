/**
 * An upstream from the view of one router: its list entry, its reported load and the router's own measurements.
 */
package org.ibismoor.forwarding.api

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.ibismoor.coordination.api.UpstreamEntry
import org.ibismoor.core.api.Timestamp
import org.ibismoor.pacing.api.PaceRow

data class UpstreamRow(
    val entry: UpstreamEntry,
    /** Requests that this router has in flight at the upstream. */
    val inFlight: Int = 0,
    /** Size of the bodies of those requests. */
    val inFlightBytes: Long = 0,
    /** Uncached prompt tokens of this router's requests without a first event. */
    val pendingPromptTokens: Long = 0,
    val load: UpstreamLoad? = null,
    /** Requests that this router has sent since [load] was reported. */
    val sentSinceLoad: Int = 0,
    /** Null if nothing was measured, or if the upstream does not report the present duration of its work. */
    val eventGap: EventGapRow? = null,
    val failures: FailureRow = FailureRow(),
    val availability: AvailabilityRow = AvailabilityRow(),
    /** When this router last sent each prompt part to the upstream, by the identifier of the part. */
    val sentParts: PersistentMap<String, Timestamp> = persistentHashMapOf(),
    /** Load that other routers have put on the upstream, by the address of the router. */
    val peerLoads: PersistentMap<String, PeerLoad> = persistentHashMapOf(),
    /** Null until the list with the upstream has been applied. */
    val pace: PaceRow? = null,
) {
    /** True if the list or the upstream itself says so. */
    val isLeaving: Boolean get() = entry.isLeaving || availability.leavingSince != null
}

/** Load that an upstream reported with an answer. */
data class UpstreamLoad(
    val running: Int,
    val waiting: Int,
    val slots: Int,
    val reportedAt: Timestamp,
    /** As in [ReportedLoad.workTimePercent]. */
    val workTimePercent: Int? = null,
)

/** Failures of an upstream. [rate] is the exponentially weighted fraction of failed requests at [updatedAt]. */
data class FailureRow(
    val consecutive: Int = 0,
    val rate: Double = 0.0,
    val updatedAt: Timestamp = Timestamp(0),
    val ejections: Int = 0,
    /** When the last ejection began. */
    val ejectedAt: Timestamp? = null,
    val ejectedUntil: Timestamp = Timestamp(0),
)
