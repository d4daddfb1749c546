/**
 * Restricts the routers that a caller of a host is offered to the regions that the routes of the host allow, and to the
 * caller's own region.
 */
package org.ibismoor.forwarding.api

import org.ibismoor.coordination.api.RouterEntry

/** A host with a route that may go to any region is served by all routers, since a caller names no route. */
fun ForwardingTables.isOffered(router: RouterEntry, caller: CallerPlace, settings: ForwardingSettings): Boolean {
    val routes = caller.host?.let { configuration?.routes?.get(it.lowercase()) }.orEmpty()
    if (routes.isEmpty() || routes.any { it.allowedRegions.isEmpty() }) return true
    val region = settings.regions[router.domain]
    val callerRegion = caller.region ?: settings.regions[caller.domain]
    return region != null && (region == callerRegion || routes.any { region in it.allowedRegions })
}
