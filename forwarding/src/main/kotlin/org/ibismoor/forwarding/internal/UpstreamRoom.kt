/**
 * Whether an upstream has room for one more request of this router. Dozens of routers share each upstream, so a router
 * fills it only as far as a recent report of its load shows it to be free, and else keeps to its own part.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamGroupId
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.PolicySwitch
import org.ibismoor.forwarding.api.RequestRow
import org.ibismoor.forwarding.api.UpstreamRow

/** Requests that may wait at an upstream, as a part of its slots, so that a slot that comes free is used at once. */
private const val SHORT_QUEUE_DIVISOR = 8

/** Requests that a router may have at an upstream of which it knows nothing recent; one alone would be lost easily. */
private const val MINIMUM_OWN_PART = 2

internal fun ForwardingTables.isQueueing(group: UpstreamGroupId, settings: ForwardingSettings): Boolean =
    when (settings.policies.admissionQueue) {
        PolicySwitch.OFF -> false
        PolicySwitch.ON -> true
        PolicySwitch.AUTO ->
            upstreams.values.any { it.entry.group == group && it.load?.workTimePercent != null }
    }

/**
 * The limit falls with the age of the report from the slots and a short queue to the own part. The estimate falls in
 * the same way, so a report of a full upstream holds until it is outdated.
 */
internal fun UpstreamRow.hasRoom(routers: Int, now: Timestamp): Boolean {
    val slots = load?.slots?.takeIf { it > 0 } ?: entry.slots
    val full = slots + (slots / SHORT_QUEUE_DIVISOR).coerceAtLeast(1)
    val ownPart = ((slots + routers - 1) / routers).coerceAtLeast(MINIMUM_OWN_PART)
    val weight = load?.let { (1 - (now - it.reportedAt) / LOAD_MAXIMUM_AGE_MILLIS).coerceIn(0.0, 1.0) } ?: 0.0
    return estimatedRequests(this, now) < ownPart + (full - ownPart).coerceAtLeast(0) * weight
}

/** Number of routers that share the upstreams. */
internal val ForwardingTables.sharingRouters: Int get() = fleet.routers.size.coerceAtLeast(1)

/**
 * True if the upstream may hold the body of [request] too: each router has an equal part of the upstream's limit. One
 * request may exceed the part, since it could never be sent otherwise.
 */
internal fun UpstreamRow.hasMemoryFor(request: RequestRow, tables: ForwardingTables, limitBytes: Long?): Boolean =
    limitBytes == null || inFlightBytes == 0L ||
        inFlightBytes + request.head.bodyBytes <= limitBytes / tables.sharingRouters

/** True if an upstream stays that may get [request] in time, although perhaps not at this moment. */
internal fun ForwardingTables.canBeServed(
    request: RequestRow,
    settings: ForwardingSettings,
    now: Timestamp,
): Boolean {
    val until = latestStart(request, now)
    val places = placesFor(request, settings)
    return upstreams.values.any { row ->
        val pausedUntil = row.availability.pausedUntil
        row.entry.group == request.group && request.mayUse(row.entry) && !row.isLeaving &&
            places.allows(row.entry.domain) &&
            (pausedUntil == null || pausedUntil < until)
    }
}
