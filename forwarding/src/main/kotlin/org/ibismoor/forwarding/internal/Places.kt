/**
 * Applies evacuations and allowed regions to the upstreams of a request.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.core.api.AllowedPlaces
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.Timestamp
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.RequestRow

internal fun ForwardingTables.placesFor(request: RequestRow, settings: ForwardingSettings): AllowedPlaces =
    AllowedPlaces(
        evacuated = fleet.evacuations?.domains.orEmpty(),
        regions = settings.regions,
        allowedRegions = listOf(request.route.allowedRegions, request.organisationRegions),
    )

/** Why no upstream of the request's group is in an allowed place; null if one is, or if the group has no upstream. */
internal fun ForwardingTables.placeRefusal(request: RequestRow, settings: ForwardingSettings): RefusalReason? {
    val places = placesFor(request, settings)
    if (places.isUnlimited) return null
    val domains = upstreams.values.filter { it.entry.group == request.group }.map { it.entry.domain }
    val allowedDomains = domains.filter(places::isInAllowedRegion)
    return when {
        domains.isEmpty() -> null
        allowedDomains.isEmpty() -> RefusalReason.REGION_NOT_ALLOWED
        allowedDomains.all(places::isEvacuated) -> RefusalReason.EVACUATED
        else -> null
    }
}

/** Refuses [request] for [reason], a result of [placeRefusal]. */
internal fun refusePlace(
    tables: ForwardingTables,
    request: RequestRow,
    reason: RefusalReason,
    settings: ForwardingSettings,
    now: Timestamp,
): ForwardingStep = refuseRequest(tables, request, reason, settings.times.placeRetryAfterMillis, now)
