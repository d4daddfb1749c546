/**
 * Tables of a domain ledger that are restored from its records. They change only by applying a record, so a replay
 * gives the same tables. Charges are numbered from 1; those up to number [mergedCharge] are merged at the quorum.
 * [claimReports] are commands about claims that the quorum has not confirmed. [latestTime] is the latest wall-clock
 * time in any record.
 */
package org.ibismoor.ledger.api

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import org.ibismoor.core.api.AttemptId
import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.RequestKey
import org.ibismoor.core.api.SessionId
import org.ibismoor.core.api.Table
import org.ibismoor.core.api.WallTime

data class DurableLedgerTables(
    val budgets: Table<BudgetId, DomainBudgetRow> = persistentHashMapOf(),
    val reservations: Table<RequestKey, ReservationRow> = persistentHashMapOf(),
    val charges: Table<RequestKey, DomainChargeRow> = persistentHashMapOf(),
    val chargeOrder: RetentionOrder<RequestKey> = RetentionOrder(),
    val mergedCharge: Long = 0,
    val claims: Table<RequestKey, ClaimRow> = persistentHashMapOf(),
    val claimOrder: RetentionOrder<RequestKey> = RetentionOrder(),
    val released: Table<AttemptId, ReleasedRow> = persistentHashMapOf(),
    val releasedOrder: RetentionOrder<AttemptId> = RetentionOrder(),
    val claimReports: Table<RequestKey, FleetCommand> = persistentHashMapOf(),
    val sessionKeys: Table<SessionId, PersistentSet<RequestKey>> = persistentHashMapOf(),
    val latestTime: WallTime = WallTime(0),
) {
    fun budget(id: BudgetId): DomainBudgetRow = budgets[id] ?: DomainBudgetRow()

    val lastChargeNumber: Long get() = chargeOrder.next - 1
}
