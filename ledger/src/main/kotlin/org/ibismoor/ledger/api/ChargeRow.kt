/**
 * A billed request. [amount] is in budget tokens.
 */
package org.ibismoor.ledger.api

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.RequestKey
import org.ibismoor.core.api.WallTime

@Serializable
data class ChargeRow(
    val key: RequestKey,
    val budget: BudgetId,
    val amount: Long,
    val outcome: Outcome,
    val replica: ReplicaId,
    val chargedAt: WallTime,
)
