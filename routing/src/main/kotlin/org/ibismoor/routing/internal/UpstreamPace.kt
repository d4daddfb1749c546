/**
 * Pace of the requests to upstreams that were ejected or have started again.
 */
package org.ibismoor.routing.internal

import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.pacing.api.PaceEvent
import org.ibismoor.pacing.api.PaceSettings
import org.ibismoor.pacing.api.SharedSlots
import org.ibismoor.pacing.api.after
import org.ibismoor.routing.api.RoutingTables
import org.ibismoor.routing.api.UpstreamRow

private val PACE_SETTINGS = PaceSettings()

/** As many slots as `RoutingLimits.inFlightPerUpstream` has by default. */
private val PACE_SLOTS = SharedSlots(slots = 32, routers = 32)

/** A refusal lowers the limit of an upstream that is limited already; otherwise the limit of the group follows it. */
internal fun RoutingTables.recordRefusal(id: UpstreamId, now: Timestamp): RoutingTables {
    val row = upstreams[id]?.takeIf { it.pace.ramp != null } ?: return this
    val refused = PaceEvent.Refused(active = (row.inFlight - 1).coerceAtLeast(0))
    return copy(upstreams = upstreams.put(id, row.withPace(refused, now)))
}

/**
 * A router does not know how many others use an upstream and starts with one request. Upstreams declare no slots, so
 * the limit ends at the number of requests that a group's queue assumes for each.
 */
internal fun UpstreamRow.withPace(event: PaceEvent, now: Timestamp): UpstreamRow =
    copy(pace = pace.after(event, PACE_SLOTS, PACE_SETTINGS, now))
