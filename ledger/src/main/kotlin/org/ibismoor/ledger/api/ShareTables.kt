/**
 * Tables of the share allocator: the fleet state as observed, the expected use that replicas stated, the needs that
 * wait for tokens to come back, and the budgets that could not cover one lately. They are not durable; a new leader
 * starts with empty ones.
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
    val expected: PersistentMap<BudgetId, PersistentMap<ReplicaId, Long>> = persistentHashMapOf(),
    val waiting: PersistentMap<BudgetId, PersistentMap<ReplicaId, WaitingNeed>> = persistentHashMapOf(),
    val exhausted: PersistentMap<BudgetId, ExhaustedRow> = persistentHashMapOf(),
    val waitingDue: DueQueue<BudgetId> = DueQueue.empty(),
)
