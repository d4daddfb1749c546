/**
 * Increases the share of [replica] by [amount] budget tokens. If [issuedBefore] is set, it takes effect only while the
 * issued counter of the share has that value, so that a command proposed twice does not issue the tokens twice.
 */
package org.ibismoor.ledger.api

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.ReplicaId

@Serializable
data class ShareIssue(
    val budget: BudgetId,
    val replica: ReplicaId,
    val amount: Long,
    val issuedBefore: Long? = null,
)
