/**
 * Tables of the share allocator: the last fleet state, the expected use reported by replicas, the needs that wait for
 * returned tokens, and the budgets recently found exhausted. They are not durable; a new leader starts with empty ones.
 */
package org.ibismoor.ledger.api

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.DueQueue
import org.ibismoor.core.api.ReplicaId

data class ShareTables(
    val fleet: FleetTables = FleetTables(),
    val isLeader: Boolean = false,
    val hasObserved: Boolean = false,
    val reachable: Set<ReplicaId>? = null,
    val expectedUse: PersistentMap<BudgetId, PersistentMap<ReplicaId, Long>> = persistentHashMapOf(),
    val waitingNeeds: PersistentMap<BudgetId, PersistentMap<ReplicaId, WaitingNeed>> = persistentHashMapOf(),
    val exhaustedBudgets: PersistentMap<BudgetId, ExhaustedRow> = persistentHashMapOf(),
    val waitingDue: DueQueue<BudgetId> = DueQueue.empty(),
)
