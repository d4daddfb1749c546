/**
 * An organisation. Its weight is its part in fair scheduling between organisations; a rate limit of null means none.
 */
package org.ibismoor.configuration.api

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.OrganisationId

@Serializable
data class Organisation(
    val id: OrganisationId,
    val weight: Int = 1,
    val requestsPerSecond: Int? = null,
)
