/**
 * An API key, known by its digest only, with the organisation it authenticates, the budget that its requests draw on
 * and the highest priority that its requests may ask for.
 */
package org.ibismoor.configuration.api

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.ApiKeyDigest
import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.OrganisationId

@Serializable
data class ApiKey(
    val digest: ApiKeyDigest,
    val organisation: OrganisationId,
    val budget: BudgetId,
    val priority: Priority = Priority.NORMAL,
)
