/**
 * An increase of the share of [replica] by [amount] budget tokens.
 */
package org.ibismoor.ledger.api

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.ReplicaId

@Serializable
data class ShareIssue(val budget: BudgetId, val replica: ReplicaId, val amount: Long)
