/**
 * What drives a domain ledger beside the passing of time.
 */
package org.ibismoor.ledger.api

import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.SessionId

sealed interface DomainLedgerMessage

/** A batch of requests from one router. The answers carry the same [batch] number. */
data class RequestsReceived(val batch: Long, val session: SessionId, val requests: List<LedgerRequest>) :
    DomainLedgerMessage

/** A router was heard, which keeps its session alive. */
data class SessionContactReceived(val session: SessionId) : DomainLedgerMessage

/** Committed entries were applied. [changed] names the budgets whose row differs. */
data class FleetAdvanced(val fleet: FleetTables, val changed: Collection<BudgetId>) : DomainLedgerMessage

/** A command that this ledger proposed was committed with [result], or failed if it is null. */
data class CommandFinished(val command: FleetCommand, val result: FleetResult?) : DomainLedgerMessage

/** The leader has no tokens left for these budgets, and no other replica has a surplus. */
data class SharesExhausted(val budgets: List<BudgetId>) : DomainLedgerMessage

/**
 * The leader asks for tokens back, at most [amount]. Requests of another replica wait for [urgent] of them, which are
 * returned although this replica expects to use them.
 */
data class ReturnRequested(val budget: BudgetId, val amount: Long, val urgent: Long = 0) : DomainLedgerMessage
