/**
 * An organisation. [weight] is its weight in fair scheduling between organisations; a [requestsPerSecond] of null means
 * that there is no rate limit.
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
