/**
 * One version of the configuration as a router uses it.
 */
package org.ibismoor.forwarding.api

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import org.ibismoor.core.api.ApiKeyDigest
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.UpstreamGroupId

data class ForwardingConfiguration(
    val version: Long,
    /** Routes by host, sorted by descending prefix length. */
    val routes: PersistentMap<String, PersistentList<RouteRow>>,
    val groups: PersistentMap<UpstreamGroupId, GroupSettings>,
    /** Empty if callers need no API key. */
    val organisations: PersistentMap<OrganisationId, OrganisationRow>,
    val keys: PersistentMap<ApiKeyDigest, OrganisationId>,
    val limits: CallerLimits,
) {
    fun routeOf(host: String, path: String): RouteRow? = routes[host]?.firstOrNull { path.startsWith(it.pathPrefix) }
}
