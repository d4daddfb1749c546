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
import org.ibismoor.ledger.api.AnswerNeeds
import org.ibismoor.ledger.api.FleetObserved
import org.ibismoor.ledger.api.NeedsReceived
import org.ibismoor.ledger.api.ShareEffect
import org.ibismoor.ledger.api.ShareMessage
import org.ibismoor.ledger.api.ShareSizingPolicy
import org.ibismoor.ledger.api.ShareTables
import org.ibismoor.ledger.api.WaitingNeed

internal class WaitingNeedSystem(private val policy: ShareSizingPolicy) :
    TickSystem<ShareTables, ShareMessage, ShareEffect> {
    override fun run(tables: ShareTables, tick: Tick<ShareMessage>): Step<ShareTables, ShareEffect> {
        val hasAdvanced = tables.isLeader && tick.messages.any { it is FleetObserved || it is NeedsReceived }
        val due = tables.waitingDue.take(tick.now)
        val overdue = due.entries.map { it.id }
        val budgets = if (hasAdvanced) tables.waiting.keys + overdue else overdue
        return budgets.distinct().sorted().fold(Step(tables.copy(waitingDue = due.rest))) { step, budget ->
            val next = serveBudget(step.tables, budget, tick.now)
            Step(next.tables, step.effects + next.effects)
        }
    }

    private fun serveBudget(tables: ShareTables, budget: BudgetId, now: Timestamp): Step<ShareTables, ShareEffect> =
        tables.waiting[budget].orEmpty().toSortedMap().entries.fold(Step(tables)) { step, (replica, need) ->
            val next = serve(step.tables, replica, need, now)
            Step(next.tables, step.effects + next.effects)
        }

    private fun serve(
        tables: ShareTables,
        replica: ReplicaId,
        waiting: WaitingNeed,
        now: Timestamp,
    ): Step<ShareTables, ShareEffect> {
        val budget = waiting.need.budget
        val view = viewOf(tables, budget)
        val amount = policy.issue(view, replica, waiting.need).coerceIn(0, view.pool.coerceAtLeast(0))
        val ended = tables.withoutWaiting(budget, replica)
        return when {
            amount > 0 -> Step(ended, listOfNotNull(issueTokens(tables, budget, mapOf(replica to amount))))
            waiting.need.urgent > 0 && isExhausted(tables, budget, replica, waiting.empty) ->
                Step(ended, listOf(AnswerNeeds(replica, listOf(budget))))
            now >= waiting.deadline -> Step(ended)
            else -> Step(tables)
        }
    }
}
