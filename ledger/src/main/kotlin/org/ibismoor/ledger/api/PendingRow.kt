/**
 * A request that waits for [wanted] tokens of [budget], or holds them while the quorum decides on its claim. It is
 * refused at [deadline] and its question is asked again at [retry].
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
    val retry: Timestamp,
    val slots: PersistentList<BatchSlot>,
)
