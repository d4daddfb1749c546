/**
 * Effects of the share allocator.
 */
package org.ibismoor.ledger.api

import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.ReplicaId

sealed interface ShareEffect

/** Proposes the command to the replicated log. It may be proposed more than once. */
data class IssueTokens(val command: IssueShares) : ShareEffect

/**
 * Requests up to [amount] tokens back from [replica], up to [urgent] of them even if it expects to use them. Delivered
 * as [ReturnRequested].
 */
data class RequestReturn(val replica: ReplicaId, val budget: BudgetId, val amount: Long, val urgent: Long = 0) :
    ShareEffect

/** Notifies [replica] that no tokens of these budgets are left. Delivered as [SharesExhausted]. */
data class NotifySharesExhausted(val replica: ReplicaId, val exhausted: List<BudgetId>) : ShareEffect
