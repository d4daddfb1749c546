/**
 * Messages to a domain ledger.
 */
package org.ibismoor.ledger.api

import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.SessionId

sealed interface DomainLedgerMessage

/** A batch of requests from one router. Its answer has the same [batch] number. */
data class RequestsReceived(val batch: Long, val session: SessionId, val requests: List<LedgerRequest>) :
    DomainLedgerMessage

/** Contact with a router, which extends its session. */
data class SessionContactReceived(val session: SessionId) : DomainLedgerMessage

/** Committed entries were applied. [changed] lists the budgets whose row has changed. */
data class FleetAdvanced(val fleet: FleetTables, val changed: Collection<BudgetId>) : DomainLedgerMessage

/** A proposed command was committed with [result]. If it is null, the command may or may not be committed. */
data class CommandFinished(val command: FleetCommand, val result: FleetResult?) : DomainLedgerMessage

/** The leader has no tokens left for these budgets, and no other replica has a surplus. */
data class SharesExhausted(val budgets: List<BudgetId>) : DomainLedgerMessage

/**
 * The leader reclaims up to [amount] tokens. Requests at another replica wait for [urgent] of them; these are returned
 * even if this replica expects to use them.
 */
data class ReturnRequested(val budget: BudgetId, val amount: Long, val urgent: Long = 0) : DomainLedgerMessage
