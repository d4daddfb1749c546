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

/** A replica requests larger shares from the leader. */
@Serializable
@SerialName("needs")
data class SharesNeeded(val needs: List<ShareNeed>) : PeerMessage

/**
 * The leader reclaims at most [amount] tokens of a replica's share. Of these, the replica returns up to [urgent] even
 * if it expects to use them.
 */
@Serializable
@SerialName("return")
data class ShareReturnRequested(val budget: BudgetId, val amount: Long, val urgent: Long = 0) : PeerMessage

/** The leader notifies a replica that these budgets have no tokens left. */
@Serializable
@SerialName("exhausted")
data class BudgetsExhausted(val budgets: List<BudgetId>) : PeerMessage
