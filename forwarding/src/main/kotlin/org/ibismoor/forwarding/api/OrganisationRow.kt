/**
 * An organisation in the configuration of a router.
 */
package org.ibismoor.forwarding.api

import org.ibismoor.core.api.OrganisationId

data class OrganisationRow(
    val id: OrganisationId,
    /** Overrides the priority of the route; null keeps it. */
    val priority: Int?,
    /** Prepaid tokens; null means unlimited. */
    val budget: Long?,
)
