/**
 * A prepaid budget of an organisation as it is published, with its grants in budget tokens by their identifiers. A
 * grant that is published again counts once.
 */
package org.ibismoor.configuration.api

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.GrantId
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.Table

@Serializable
data class Budget(
    val id: BudgetId,
    val organisation: OrganisationId,
    val grants: Table<GrantId, Long>,
) {
    val granted: Long get() = grants.values.sum()
}
