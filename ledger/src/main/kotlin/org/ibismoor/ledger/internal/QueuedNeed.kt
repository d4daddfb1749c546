/**
 * Queue of the needs that wait for tokens of one budget: urgent ones first, then in order of arrival. Sums of tokens
 * come from the merged counters at the quorum, so they may include reserved tokens but never omit free ones.
 */
package org.ibismoor.ledger.internal

import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.ledger.api.BudgetRow
import org.ibismoor.ledger.api.ShareTables
import org.ibismoor.ledger.api.WaitingNeed

internal data class QueuedNeed(val replica: ReplicaId, val waiting: WaitingNeed) {
    fun lackingTokens(row: BudgetRow): Long = (waiting.issuedGoal - row.share(replica).issued).coerceAtLeast(0)

    /** Tokens that the smallest waiting request lacks once the replica has applied all issues. */
    fun smallestLackingTokens(row: BudgetRow): Long = waiting.need.smallest - tokensHeld(row)

    /** Tokens that the replica has for its waiting requests once it has applied all issues. */
    fun tokensHeld(row: BudgetRow): Long = waiting.need.available + row.share(replica).issued - waiting.need.issued
}

internal fun queueOf(tables: ShareTables, budget: BudgetId): List<QueuedNeed> =
    tables.waitingNeeds[budget].orEmpty()
        .map { (replica, waiting) -> QueuedNeed(replica, waiting) }
        .sortedWith(compareBy({ !it.waiting.isUrgent }, { it.waiting.deadline }, { it.replica }))

/** Remaining tokens of [holders], except those that replied that they have no surplus. */
internal fun reclaimableTokens(row: BudgetRow, entry: QueuedNeed, holders: List<ReplicaId>): Long =
    holders.filterNot { hasNoSurplus(row, entry, it) }.sumOf { row.share(it).remaining.coerceAtLeast(0) }

/** The reply of a replica counts only once the tokens that it returned before it have reached the pool. */
private fun hasNoSurplus(row: BudgetRow, entry: QueuedNeed, holder: ReplicaId): Boolean =
    entry.waiting.emptyHolders[holder]?.let { it <= row.share(holder).returned } ?: false

/** All tokens that a request of the waiting replica could get, at whichever live replica they are. */
internal fun obtainableTokens(tables: ShareTables, row: BudgetRow, entry: QueuedNeed): Long {
    val others = liveReplicas(tables.fleet).filter { it != entry.replica }
    return entry.tokensHeld(row) + row.pool + reclaimableTokens(row, entry, others)
}

/** Whether no request of the waiting replica can be covered. Tokens of unreachable replicas count as obtainable. */
internal fun isExhausted(tables: ShareTables, row: BudgetRow, entry: QueuedNeed): Boolean =
    obtainableTokens(tables, row, entry) < entry.waiting.need.smallest

internal fun ShareTables.withUpdatedNeed(budget: BudgetId, replica: ReplicaId, need: WaitingNeed): ShareTables =
    copy(waitingNeeds = waitingNeeds.put(budget, waitingNeeds.getValue(budget).put(replica, need)))
