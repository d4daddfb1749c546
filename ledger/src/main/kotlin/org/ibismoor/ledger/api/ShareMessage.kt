/**
 * What drives the share allocator of the leader.
 */
package org.ibismoor.ledger.api

import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.ReplicaId

sealed interface ShareMessage

/** [replica] asks for larger shares. */
data class NeedsReceived(val replica: ReplicaId, val needs: List<ShareNeed>) : ShareMessage

/** Committed entries were applied. [changed] names the budgets whose row differs; it may be empty. */
data class FleetObserved(val fleet: FleetTables, val changed: Collection<BudgetId>) : ShareMessage

/** This replica started or stopped leading. */
data class LeadershipChanged(val isLeader: Boolean) : ShareMessage

/** The leader hears from exactly these replicas. Until the first such message all replicas count as reachable. */
data class ReachableChanged(val replicas: Set<ReplicaId>) : ShareMessage
