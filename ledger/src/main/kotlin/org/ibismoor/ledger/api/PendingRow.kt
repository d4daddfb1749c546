/**
 * A request that waits for [wanted] tokens of [budget], or that holds them while the quorum decides on its claim. At
 * [retryAt] the share or the claim is requested again; at [deadline] the request is refused.
 */
package org.ibismoor.ledger.api

import kotlinx.collections.immutable.PersistentList
import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.Timestamp

data class PendingRow(
    val request: LedgerRequest,
    val budget: BudgetId,
    val wanted: Long,
    val stage: PendingStage,
    val deadline: Timestamp,
    val retryAt: Timestamp,
    val slots: PersistentList<BatchSlot>,
)
