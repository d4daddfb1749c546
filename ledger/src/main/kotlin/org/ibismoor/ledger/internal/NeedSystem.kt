/**
 * Answers needs from the pool and asks for tokens back when the pool is short.
 */
package org.ibismoor.ledger.internal

import kotlinx.collections.immutable.persistentHashMapOf
import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickSystem
import org.ibismoor.core.api.Timestamp
import org.ibismoor.ledger.api.AnswerNeeds
import org.ibismoor.ledger.api.AskReturn
import org.ibismoor.ledger.api.NeedsReceived
import org.ibismoor.ledger.api.ShareEffect
import org.ibismoor.ledger.api.ShareMessage
import org.ibismoor.ledger.api.ShareNeed
import org.ibismoor.ledger.api.ShareSizingPolicy
import org.ibismoor.ledger.api.ShareTables
import org.ibismoor.ledger.api.ShareView
import org.ibismoor.ledger.api.WaitingNeed

/** A domain refuses after 500 ms, so tokens that come back later help the next request only. */
internal const val RETURN_WAIT_MILLIS = 400L

internal class NeedSystem(private val policy: ShareSizingPolicy) : TickSystem<ShareTables, ShareMessage, ShareEffect> {
    override fun run(tables: ShareTables, tick: Tick<ShareMessage>): Step<ShareTables, ShareEffect> {
        val messages = if (tables.isLeader) tick.messages.filterIsInstance<NeedsReceived>() else emptyList()
        val needs = messages.flatMap { message -> message.needs.map { message.replica to it } }
        return needs.fold(Step(tables)) { step, (replica, need) ->
            val noted = noteExpected(step.tables, replica, need)
            val heard = if (need.hasNoSurplus) noted.withEmpty(need.budget, replica) else noted
            val next = serve(heard, replica, need, tick.now)
            Step(next.tables, step.effects + next.effects)
        }
    }

    private fun noteExpected(tables: ShareTables, replica: ReplicaId, need: ShareNeed): ShareTables {
        val row = tables.expected[need.budget] ?: persistentHashMapOf()
        return tables.copy(expected = tables.expected.put(need.budget, row.put(replica, need.expected)))
    }

    private fun serve(
        tables: ShareTables,
        replica: ReplicaId,
        need: ShareNeed,
        now: Timestamp,
    ): Step<ShareTables, ShareEffect> {
        val view = viewOf(tables, need.budget)
        val amount = policy.issue(view, replica, need).coerceIn(0, view.pool.coerceAtLeast(0))
        val issued = listOfNotNull(issueTokens(tables, need.budget, mapOf(replica to amount)))
        val lacking = maxOf(need.urgent, need.expected) - amount
        return if (lacking <= 0 || replica in tables.waiting[need.budget].orEmpty()) {
            Step(tables, issued)
        } else {
            val asked = askBack(tables, view, replica, WaitingNeed(need, now + RETURN_WAIT_MILLIS), lacking)
            Step(asked.tables, issued + asked.effects)
        }
    }

    private fun askBack(
        tables: ShareTables,
        view: ShareView,
        replica: ReplicaId,
        waiting: WaitingNeed,
        lacking: Long,
    ): Step<ShareTables, ShareEffect> {
        val budget = view.budget
        val asks = policy.askBack(view, replica, waiting.need, lacking).filterValues { it > 0 }
        val effects = asks.map { (holder, amount) -> AskReturn(holder, budget, amount) }
        return when {
            asks.isNotEmpty() ->
                Step(tables.withWaiting(budget, replica, waiting.copy(asked = asks.keys)), effects)
            waiting.need.urgent > 0 && isExhausted(tables, budget, replica) ->
                Step(tables, listOf(AnswerNeeds(replica, listOf(budget))))
            else -> Step(tables)
        }
    }
}

/** Whether the pool is empty and no other live replica, reachable or not, holds anything but those in [empty]. */
internal fun isExhausted(
    tables: ShareTables,
    budget: BudgetId,
    replica: ReplicaId,
    empty: Set<ReplicaId> = emptySet(),
): Boolean {
    val row = tables.fleet.budgets[budget] ?: return false
    val others = liveReplicas(tables.fleet).filter { it != replica && it !in empty }
    return row.pool <= 0 && others.all { row.share(it).remaining <= 0 }
}

internal fun ShareTables.withWaiting(budget: BudgetId, replica: ReplicaId, need: WaitingNeed): ShareTables {
    val row = waiting[budget] ?: persistentHashMapOf()
    return copy(
        waiting = waiting.put(budget, row.put(replica, need)),
        waitingDue = waitingDue.plus(need.deadline, budget),
    )
}

internal fun ShareTables.withoutWaiting(budget: BudgetId, replica: ReplicaId): ShareTables {
    val row = (waiting[budget] ?: persistentHashMapOf()).remove(replica)
    return copy(waiting = if (row.isEmpty()) waiting.remove(budget) else waiting.put(budget, row))
}

/** Notes for every need that waits for [replica] that it has nothing to give. */
private fun ShareTables.withEmpty(budget: BudgetId, replica: ReplicaId): ShareTables {
    val row = waiting[budget] ?: return this
    val heard = row.mapValues { (_, need) ->
        if (replica in need.asked) need.copy(empty = need.empty + replica) else need
    }
    return copy(waiting = waiting.put(budget, row.putAll(heard)))
}
