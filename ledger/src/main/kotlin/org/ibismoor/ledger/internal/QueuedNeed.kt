/**
 * The queue of the needs that wait for tokens of one budget: urgent ones first, then in the order in which they were
 * stated. Sums of tokens count what the quorum knows, so they may include reserved tokens but leave none out.
 */
package org.ibismoor.ledger.internal

import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.ledger.api.BudgetRow
import org.ibismoor.ledger.api.ShareTables
import org.ibismoor.ledger.api.WaitingNeed

internal data class QueuedNeed(val replica: ReplicaId, val waiting: WaitingNeed) {
    fun lacking(row: BudgetRow): Long = (waiting.goal - row.share(replica).issued).coerceAtLeast(0)

    /** What the smallest waiting request lacks once the replica has applied all issues. */
    fun smallestLacking(row: BudgetRow): Long = waiting.need.smallest - heldBy(row)

    /** What the replica has for its waiting requests once it has applied all issues. */
    fun heldBy(row: BudgetRow): Long = waiting.need.available + row.share(replica).issued - waiting.need.issued
}

internal fun queueOf(tables: ShareTables, budget: BudgetId): List<QueuedNeed> =
    tables.waiting[budget].orEmpty()
        .map { (replica, waiting) -> QueuedNeed(replica, waiting) }
        .sortedWith(compareBy({ !it.waiting.isUrgent }, { it.waiting.deadline }, { it.replica }))

/** Tokens of [holders], without those that answered that they have nothing more to give. */
internal fun openTokens(row: BudgetRow, entry: QueuedNeed, holders: List<ReplicaId>): Long =
    holders.filterNot { isEmpty(row, entry, it) }.sumOf { row.share(it).remaining.coerceAtLeast(0) }

/** A replica is empty only once the tokens that it returned before it said so have reached the pool. */
private fun isEmpty(row: BudgetRow, entry: QueuedNeed, holder: ReplicaId): Boolean =
    entry.waiting.empty[holder]?.let { it <= row.share(holder).returned } ?: false

/** All tokens that a request of the waiting replica could get, wherever they are. */
internal fun freeFor(tables: ShareTables, row: BudgetRow, entry: QueuedNeed): Long {
    val others = liveReplicas(tables.fleet).filter { it != entry.replica }
    return entry.heldBy(row) + row.pool + openTokens(row, entry, others)
}

/** Whether no request of the waiting replica can be covered; a replica that is cut off may still hold tokens. */
internal fun isExhausted(tables: ShareTables, row: BudgetRow, entry: QueuedNeed): Boolean =
    freeFor(tables, row, entry) < entry.waiting.need.smallest

internal fun ShareTables.withServed(budget: BudgetId, replica: ReplicaId, need: WaitingNeed): ShareTables =
    copy(waiting = waiting.put(budget, waiting.getValue(budget).put(replica, need)))
