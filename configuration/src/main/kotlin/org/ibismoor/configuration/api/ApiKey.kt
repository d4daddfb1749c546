/**
 * An API key, stored as its digest only, with the organisation that it authenticates, the budget that its requests are
 * charged to and the highest priority that its requests may have.
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
