/**
 * All tables of one domain ledger. [durable] is restored from records. The other tables hold work in progress and start
 * empty after a restart, except that each session with an open reservation gets a new timeout. [fleet] is the applied
 * state of the replicated log. [freedBudgets] and [needs] pass data from one system to the next within a tick: budgets
 * that gained tokens while requests wait for them, and needs to send to the leader.
 */
package org.ibismoor.ledger.api

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf
import org.ibismoor.core.api.AttemptId
import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.DueQueue
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.RequestKey
import org.ibismoor.core.api.SessionId
import org.ibismoor.core.api.Timestamp

data class DomainLedgerTables(
    val replica: ReplicaId,
    val fleet: FleetTables,
    val durable: DurableLedgerTables,
    val merge: MergeRow,
    val retention: RetentionRow,
    val sessions: PersistentMap<SessionId, Timestamp> = persistentHashMapOf(),
    val sessionsDue: DueQueue<SessionId> = DueQueue.empty(),
    val batches: PersistentMap<Long, BatchRow> = persistentHashMapOf(),
    val pending: PersistentMap<AttemptId, PendingRow> = persistentHashMapOf(),
    val pendingDue: DueQueue<AttemptId> = DueQueue.empty(),
    val usage: PersistentMap<BudgetId, UsageRow> = persistentHashMapOf(),
    val freedBudgets: PersistentSet<BudgetId> = persistentHashSetOf(),
    val needs: PersistentMap<BudgetId, ShareNeed> = persistentHashMapOf(),
    val reportsDue: DueQueue<RequestKey> = DueQueue.empty(),
) {
    /** Tokens of [budget] that are neither spent, returned, reserved nor set aside for a pending claim. */
    fun availableTokens(budget: BudgetId): Long {
        val share = fleet.budgets[budget]?.share(replica) ?: ShareRow()
        val own = durable.budget(budget)
        val held = usage[budget]?.heldTokens ?: 0
        return share.issued + share.voided - own.returned - own.spent - own.reserved - held
    }
}
