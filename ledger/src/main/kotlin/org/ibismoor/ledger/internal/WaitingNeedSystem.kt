/**
 * Issues tokens that came back to the needs that wait for them. A need is answered as exhausted when every replica
 * that holds tokens answered that it has none to give; a replica that is cut off leaves it without an answer, since
 * its tokens are not spent.
 */
package org.ibismoor.ledger.internal

import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickSystem
import org.ibismoor.core.api.Timestamp
import org.ibismoor.ledger.api.BudgetRow
import org.ibismoor.ledger.api.ExhaustedRow
import org.ibismoor.ledger.api.FleetObserved
import org.ibismoor.ledger.api.LeadershipChanged
import org.ibismoor.ledger.api.NeedsReceived
import org.ibismoor.ledger.api.NotifySharesExhausted
import org.ibismoor.ledger.api.ReachableChanged
import org.ibismoor.ledger.api.RequestReturn
import org.ibismoor.ledger.api.ShareEffect
import org.ibismoor.ledger.api.ShareMessage
import org.ibismoor.ledger.api.ShareSizingPolicy
import org.ibismoor.ledger.api.ShareTables
import org.ibismoor.ledger.api.ShareView

/** How long the answer that no replica has tokens left is reused; longer only delays the use of freed tokens. */
private const val EXHAUSTED_MILLIS = 1_000L

internal class WaitingNeedSystem(private val policy: ShareSizingPolicy) :
    TickSystem<ShareTables, ShareMessage, ShareEffect> {
    override fun run(tables: ShareTables, tick: Tick<ShareMessage>): Step<ShareTables, ShareEffect> {
        val due = tables.waitingDue.take(tick.now)
        val touched = if (tables.isLeader) tick.messages.flatMap(::budgetsOf) else emptyList()
        val budgets = (touched + due.entries.map { it.id }).distinct().filter { it in tables.waiting }
        return budgets.sorted().fold(Step(tables.copy(waitingDue = due.rest))) { step, budget ->
            val next = serveBudget(step.tables, budget, tick.now)
            Step(next.tables, step.effects + next.effects)
        }
    }

    private fun budgetsOf(message: ShareMessage): Collection<BudgetId> =
        when (message) {
            is FleetObserved -> message.changed
            is NeedsReceived -> message.needs.map { it.budget }
            is LeadershipChanged, is ReachableChanged -> emptyList()
        }

    /** Ended needs leave the queue first, so that the next one asks in the same tick. */
    private fun serveBudget(tables: ShareTables, budget: BudgetId, now: Timestamp): Step<ShareTables, ShareEffect> {
        val start = Step<ShareTables, ShareEffect>(tables)
        val ended = queueOf(tables, budget).fold(start) { step, entry ->
            val next = endIfDone(step.tables, budget, entry, now)
            Step(next.tables, step.effects + next.effects)
        }
        val queue = queueOf(ended.tables, budget)
        return queue.indices.fold(ended) { step, position ->
            val next = serve(step.tables, budget, queue, position)
            Step(next.tables, step.effects + next.effects)
        }
    }

    private fun endIfDone(
        tables: ShareTables,
        budget: BudgetId,
        entry: QueuedNeed,
        now: Timestamp,
    ): Step<ShareTables, ShareEffect> {
        val waiting = entry.waiting
        val row = tables.fleet.budgets[budget] ?: BudgetRow(0)
        val isOver = row.share(entry.replica).issued >= waiting.goal || now >= waiting.deadline
        val left = tables.withoutWaiting(budget, entry.replica)
        return when {
            waiting.isUrgent && isExhausted(tables, row, entry) -> {
                val known = ExhaustedRow(freeFor(tables, row, entry), row.counted, now + EXHAUSTED_MILLIS)
                val answer = NotifySharesExhausted(entry.replica, listOf(budget))
                Step(left.copy(exhausted = left.exhausted.put(budget, known)), listOf(answer))
            }
            isOver -> Step(left)
            else -> Step(tables)
        }
    }

    private fun serve(
        tables: ShareTables,
        budget: BudgetId,
        queue: List<QueuedNeed>,
        position: Int,
    ): Step<ShareTables, ShareEffect> {
        val (replica, waiting) = queue[position]
        val row = tables.fleet.budgets[budget] ?: BudgetRow(0)
        val promised = queue.take(position).sumOf { it.lacking(row) }
        val view = viewOf(tables, budget).copy(pool = (row.pool - promised).coerceAtLeast(0))
        val lacking = queue[position].lacking(row)
        val need = waiting.need.copy(urgent = if (waiting.isUrgent) lacking else 0)
        val amount = policy.issue(view, replica, need).coerceIn(0, view.pool)
        val isProposed = waiting.proposedAt == row.share(replica).issued
        val issue = if (isProposed) null else issueTokens(tables, budget, mapOf(replica to amount))
        val asks = asksOf(tables, view, queue, position).filterKeys { amount < lacking && it !in waiting.asked }
        val served = waiting.copy(
            asked = waiting.asked + asks.keys,
            proposedAt = if (issue == null) waiting.proposedAt else row.share(replica).issued,
        )
        val effects = asks.map { (holder, surplus) -> RequestReturn(holder, budget, surplus, minOf(lacking, surplus)) }
        return Step(tables.withServed(budget, replica, served), listOfNotNull(issue) + effects)
    }

    /**
     * What to ask back for an urgent need. Only the first in the queue takes tokens from replicas that wait
     * themselves, and only when the tokens of the reachable replicas could cover a request. With it, two replicas
     * never take the same tokens from each other in turn: the first keeps them until its need ends.
     */
    private fun asksOf(
        tables: ShareTables,
        view: ShareView,
        queue: List<QueuedNeed>,
        position: Int,
    ): Map<ReplicaId, Long> {
        val entry = queue[position]
        val row = tables.fleet.budgets[view.budget] ?: BudgetRow(0)
        val reachable = view.others(entry.replica).map { it.replica }
        val canCover = row.pool + openTokens(row, entry, reachable) >= entry.smallestLacking(row)
        if (!entry.waiting.isUrgent || !canCover) return emptyMap()
        val waiting = if (position == 0) emptySet() else queue.mapTo(mutableSetOf()) { it.replica }
        val lacking = entry.lacking(row)
        return policy.askBack(view, entry.replica, entry.waiting.need, lacking)
            .filter { (holder, amount) -> amount > 0 && holder !in waiting }
    }
}
