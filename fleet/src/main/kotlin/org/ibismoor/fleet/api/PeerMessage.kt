/**
 * Messages about shares between control replicas. They may be lost or repeated.
 */
package org.ibismoor.fleet.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.ibismoor.core.api.BudgetId
import org.ibismoor.ledger.api.ShareNeed

@Serializable
sealed interface PeerMessage

/** A replica asks the leader for larger shares. */
@Serializable
@SerialName("needs")
data class SharesNeeded(val needs: List<ShareNeed>) : PeerMessage

/**
 * The leader asks a replica to return at most [amount] tokens of its share, and of these up to [urgent] although the
 * replica expects to use them.
 */
@Serializable
@SerialName("return")
data class ShareReturnRequested(val budget: BudgetId, val amount: Long, val urgent: Long = 0) : PeerMessage

/** The leader tells a replica that nothing is left of these budgets. */
@Serializable
@SerialName("exhausted")
data class BudgetsExhausted(val budgets: List<BudgetId>) : PeerMessage
