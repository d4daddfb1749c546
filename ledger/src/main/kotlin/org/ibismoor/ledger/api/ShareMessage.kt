/**
 * Messages to the share allocator.
 */
package org.ibismoor.ledger.api

import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.ReplicaId

sealed interface ShareMessage

/** [replica] requests larger shares. */
data class NeedsReceived(val replica: ReplicaId, val needs: List<ShareNeed>) : ShareMessage

/** Committed entries were applied. [changed] lists the budgets whose row has changed and may be empty. */
data class FleetObserved(val fleet: FleetTables, val changed: Collection<BudgetId>) : ShareMessage

/** This replica became the leader or ceased to be. */
data class LeadershipChanged(val isLeader: Boolean) : ShareMessage

/** The leader has contact with exactly these replicas. Before the first message all replicas count as reachable. */
data class ReachableChanged(val replicas: Set<ReplicaId>) : ShareMessage
