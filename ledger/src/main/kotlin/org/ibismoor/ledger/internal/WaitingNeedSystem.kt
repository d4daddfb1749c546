/**
 * Issues returned tokens to the needs that wait for them. A budget is reported as exhausted only when every replica
 * that holds tokens of it has replied that it has no surplus. If one of them is unreachable, its tokens are not spent
 * and the need gets no answer.
 */
package org.ibismoor.ledger.internal

import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickSystem
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.foldSteps
import org.ibismoor.core.api.then
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

/** How long an exhausted budget is assumed to stay so; a longer time only delays the use of freed tokens. */
private const val EXHAUSTED_HOLD_MILLIS = 1_000L

internal class WaitingNeedSystem(private val policy: ShareSizingPolicy) :
    TickSystem<ShareTables, ShareMessage, ShareEffect> {
    override fun run(tables: ShareTables, tick: Tick<ShareMessage>): Step<ShareTables, ShareEffect> {
        val due = tables.waitingDue.take(tick.now)
        val changed = if (tables.isLeader) tick.messages.flatMap(::budgetsOf) else emptyList()
        val budgets = (changed + due.entries.map { it.id }).distinct().filter { it in tables.waitingNeeds }
        return foldSteps(tables.copy(waitingDue = due.rest), budgets.sorted()) { table, budget ->
            serveBudget(table, budget, tick.now)
        }
    }

    private fun budgetsOf(message: ShareMessage): Collection<BudgetId> =
        when (message) {
            is FleetObserved -> message.changed
            is NeedsReceived -> message.needs.map { it.budget }
            is LeadershipChanged, is ReachableChanged -> emptyList()
        }

    /** Finished needs are removed first, so that the next one can reclaim tokens in the same tick. */
    private fun serveBudget(tables: ShareTables, budget: BudgetId, now: Timestamp): Step<ShareTables, ShareEffect> =
        foldSteps(tables, queueOf(tables, budget)) { table, entry -> removeIfDone(table, budget, entry, now) }
            .then { serveQueue(it, budget) }

    private fun serveQueue(tables: ShareTables, budget: BudgetId): Step<ShareTables, ShareEffect> {
        val queue = queueOf(tables, budget)
        return foldSteps(tables, queue.indices) { table, position -> serveEntry(table, budget, queue, position) }
    }

    private fun removeIfDone(
        tables: ShareTables,
        budget: BudgetId,
        entry: QueuedNeed,
        now: Timestamp,
    ): Step<ShareTables, ShareEffect> {
        val waiting = entry.waiting
        val row = tables.fleet.budgets[budget] ?: BudgetRow(0)
        val isOver = row.share(entry.replica).issued >= waiting.issuedGoal || now >= waiting.deadline
        val next = tables.withoutWaitingNeed(budget, entry.replica)
        return when {
            waiting.isUrgent && isExhausted(tables, row, entry) -> {
                val exhausted =
                    ExhaustedRow(obtainableTokens(tables, row, entry), row.changeCounter, now + EXHAUSTED_HOLD_MILLIS)
                val answer = NotifySharesExhausted(entry.replica, listOf(budget))
                Step(next.copy(exhaustedBudgets = next.exhaustedBudgets.put(budget, exhausted)), listOf(answer))
            }
            isOver -> Step(next)
            else -> Step(tables)
        }
    }

    private fun serveEntry(
        tables: ShareTables,
        budget: BudgetId,
        queue: List<QueuedNeed>,
        position: Int,
    ): Step<ShareTables, ShareEffect> {
        val (replica, waiting) = queue[position]
        val row = tables.fleet.budgets[budget] ?: BudgetRow(0)
        val promised = queue.take(position).sumOf { it.lackingTokens(row) }
        val view = viewOf(tables, budget).copy(pool = (row.pool - promised).coerceAtLeast(0))
        val lacking = queue[position].lackingTokens(row)
        val need = waiting.need.copy(urgent = if (waiting.isUrgent) lacking else 0)
        val amount = policy.issueAmount(view, replica, need).coerceIn(0, view.pool)
        val isProposed = waiting.proposedIssued == row.share(replica).issued
        val issue = if (isProposed) null else issueTokens(tables, budget, mapOf(replica to amount))
        val reclaimed = reclaimAmounts(tables, view, queue, position)
            .filterKeys { amount < lacking && it !in waiting.requestedFrom }
        val served = waiting.copy(
            requestedFrom = waiting.requestedFrom + reclaimed.keys,
            proposedIssued = if (issue == null) waiting.proposedIssued else row.share(replica).issued,
        )
        val returns = reclaimed.map { (holder, surplus) ->
            RequestReturn(holder, budget, surplus, urgent = minOf(lacking, surplus))
        }
        return Step(tables.withUpdatedNeed(budget, replica, served), listOfNotNull(issue) + returns)
    }

    /**
     * Tokens to reclaim for an urgent need if the tokens of the reachable replicas can cover a request. Only the first
     * need in the queue reclaims from replicas that wait themselves and keeps the tokens until it ends, so two replicas
     * never take the same tokens from each other in turn.
     */
    private fun reclaimAmounts(
        tables: ShareTables,
        view: ShareView,
        queue: List<QueuedNeed>,
        position: Int,
    ): Map<ReplicaId, Long> {
        val entry = queue[position]
        val row = tables.fleet.budgets[view.budget] ?: BudgetRow(0)
        val reachable = view.otherHolders(entry.replica).map { it.replica }
        val canCover = row.pool + reclaimableTokens(row, entry, reachable) >= entry.smallestLackingTokens(row)
        if (!entry.waiting.isUrgent || !canCover) return emptyMap()
        val waiting = if (position == 0) emptySet() else queue.mapTo(mutableSetOf()) { it.replica }
        val lacking = entry.lackingTokens(row)
        return policy.reclaimAmounts(view, entry.replica, entry.waiting.need, lacking)
            .filter { (holder, amount) -> amount > 0 && holder !in waiting }
    }
}
