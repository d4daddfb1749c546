/**
 * What the share allocator asks of its process.
 */
package org.ibismoor.ledger.api

import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.ReplicaId

sealed interface ShareEffect

/** Propose the command to the replicated log. It may be proposed again at will. */
data class IssueTokens(val command: IssueShares) : ShareEffect

/**
 * Ask [replica] to give back up to [amount] tokens, and of these up to [urgent] although it expects to use them, as
 * [ReturnRequested].
 */
data class RequestReturn(val replica: ReplicaId, val budget: BudgetId, val amount: Long, val urgent: Long = 0) :
    ShareEffect

/** Tell [replica] that there are no tokens left for these budgets, as [SharesExhausted]. */
data class NotifySharesExhausted(val replica: ReplicaId, val exhausted: List<BudgetId>) : ShareEffect
