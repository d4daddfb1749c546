/**
 * All tables of a replay: the fleet state at the quorum, each domain ledger, the allocator, calls in progress, events
 * to come, and the results so far.
 */
package org.ibismoor.bench.budgets.internal

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.ibismoor.core.api.AttemptId
import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.DueQueue
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.SeededRandom
import org.ibismoor.core.api.Timestamp
import org.ibismoor.ledger.api.DomainLedgerTables
import org.ibismoor.ledger.api.FleetTables
import org.ibismoor.ledger.api.ShareTables

internal data class ReplayTables(
    val fleet: FleetTables,
    val ledgers: PersistentMap<ReplicaId, DomainLedgerTables>,
    val random: SeededRandom,
    val shares: ShareTables = ShareTables(),
    val calls: PersistentMap<AttemptId, CallRow> = persistentHashMapOf(),
    val events: DueQueue<ReplayEvent> = DueQueue.empty(),
    val isPartitioned: Boolean = false,
    val nextSequence: Long = 1,
    val counts: ReplayCounts = ReplayCounts(),
) {
    fun schedule(time: Timestamp, event: ReplayEvent): ReplayTables = copy(events = events.plus(time, event))

    /** Tokens of [budget] that are neither spent nor reserved anywhere; negative if it is overspent. */
    fun freeTokens(budget: BudgetId): Long {
        val row = fleet.budgets.getValue(budget)
        val used = ledgers.values.sumOf { tables -> tables.durable.budget(budget).let { it.spent + it.reserved } }
        return row.granted + row.shares.values.sumOf { it.voided } - used
    }

    fun draw(bound: Long): Pair<Long, ReplayTables> = random.below(bound) to copy(random = random.advance())
}
