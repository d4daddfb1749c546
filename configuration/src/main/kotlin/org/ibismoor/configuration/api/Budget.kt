/**
 * A prepaid budget of an organisation: a set of grants in budget tokens. The granted total is the sum of the grants,
 * so a grant that is published twice counts once.
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
