/**
 * An organisation in the configuration of a router.
 */
package org.ibismoor.forwarding.api

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashSetOf
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.RegionId

data class OrganisationRow(
    val id: OrganisationId,
    /** Overrides the priority of the route; null keeps it. */
    val priority: Int?,
    /** Prepaid tokens; null means unlimited. */
    val budget: Long?,
    /** Regions whose upstreams may get the requests; empty if any may. */
    val allowedRegions: PersistentSet<RegionId> = persistentHashSetOf(),
)
