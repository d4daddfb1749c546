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
import org.ibismoor.ledger.api.BudgetRow
import org.ibismoor.ledger.api.NeedsReceived
import org.ibismoor.ledger.api.NotifySharesExhausted
import org.ibismoor.ledger.api.RequestReturn
import org.ibismoor.ledger.api.ShareEffect
import org.ibismoor.ledger.api.ShareMessage
import org.ibismoor.ledger.api.ShareNeed
import org.ibismoor.ledger.api.ShareSizingPolicy
import org.ibismoor.ledger.api.ShareTables
import org.ibismoor.ledger.api.WaitingNeed

/** A domain refuses after 500 ms, so tokens that come back later help the next request only. */
internal const val RETURN_WAIT_MILLIS = 400L

internal class NeedSystem(private val policy: ShareSizingPolicy) : TickSystem<ShareTables, ShareMessage, ShareEffect> {
    override fun run(tables: ShareTables, tick: Tick<ShareMessage>): Step<ShareTables, ShareEffect> {
        val messages = if (tables.isLeader) tick.messages.filterIsInstance<NeedsReceived>() else emptyList()
        val needs = messages.flatMap { message -> message.needs.map { message.replica to it } }
        return needs.fold(Step(tables)) { step, (replica, need) ->
            val noted = noteExpected(step.tables, replica, need)
            val heard = if (need.hasNoSurplus) noted.withEmpty(need, replica) else noted
            val next = receive(heard, replica, need, tick.now)
            Step(next.tables, step.effects + next.effects)
        }
    }

    private fun noteExpected(tables: ShareTables, replica: ReplicaId, need: ShareNeed): ShareTables {
        val row = tables.expected[need.budget] ?: persistentHashMapOf()
        return tables.copy(expected = tables.expected.put(need.budget, row.put(replica, need.expected)))
    }

    /**
     * Tokens that came back for a waiting request go to it, not to the expected use of a replica that just gave them
     * back; otherwise two replicas could take the same tokens from each other in turn.
     */
    private fun receive(
        tables: ShareTables,
        replica: ReplicaId,
        need: ShareNeed,
        now: Timestamp,
    ): Step<ShareTables, ShareEffect> {
        val isAwaited = tables.waiting[need.budget].orEmpty().values.any { it.isUrgent }
        return when {
            need.urgent > 0 && tables.isKnownExhausted(need, now) ->
                Step(tables, listOf(NotifySharesExhausted(replica, listOf(need.budget))))
            need.urgent > 0 -> Step(enqueue(tables, replica, need, now))
            need.hasNoSurplus || isAwaited || replica in tables.waiting[need.budget].orEmpty() -> Step(tables)
            else -> serveAhead(tables, replica, need, now)
        }
    }

    /** A need that is stated again goes to the end of the queue and keeps what was heard for it. */
    private fun enqueue(tables: ShareTables, replica: ReplicaId, need: ShareNeed, now: Timestamp): ShareTables {
        val heard = tables.waiting[need.budget]?.get(replica)?.empty.orEmpty()
        val waiting = WaitingNeed(
            need = need,
            deadline = now + RETURN_WAIT_MILLIS,
            goal = need.issued + need.urgent,
            asked = heard.keys,
            empty = heard,
        )
        return tables.withWaiting(need.budget, replica, waiting)
    }

    private fun serveAhead(
        tables: ShareTables,
        replica: ReplicaId,
        need: ShareNeed,
        now: Timestamp,
    ): Step<ShareTables, ShareEffect> {
        val view = viewOf(tables, need.budget)
        val amount = policy.issue(view, replica, need).coerceIn(0, view.pool.coerceAtLeast(0))
        val issued = listOfNotNull(issueTokens(tables, need.budget, mapOf(replica to amount)))
        val lacking = need.expected - amount
        val asks = if (lacking > 0) policy.askBack(view, replica, need, lacking).filterValues { it > 0 } else emptyMap()
        val goal = (tables.fleet.budgets[need.budget]?.share(replica)?.issued ?: 0) + amount + 1
        val waiting = WaitingNeed(need, now + RETURN_WAIT_MILLIS, goal, asked = asks.keys)
        val next = if (asks.isEmpty()) tables else tables.withWaiting(need.budget, replica, waiting)
        return Step(next, issued + asks.map { (holder, returned) -> RequestReturn(holder, need.budget, returned) })
    }
}

/** Whether the budget had fewer unreserved tokens than the smallest waiting request a moment ago. */
private fun ShareTables.isKnownExhausted(need: ShareNeed, now: Timestamp): Boolean {
    val counted = fleet.budgets[need.budget]?.counted
    val known = exhausted[need.budget] ?: return false
    return now < known.until && known.counted == counted && need.smallest > known.free
}

/** Changes whenever tokens are granted, spent or given back. */
internal val BudgetRow.counted: Long get() = granted + shares.values.sumOf { it.spent + it.voided }

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

/** Notes for every need that waits for [replica] that it has nothing more to give. */
private fun ShareTables.withEmpty(answer: ShareNeed, replica: ReplicaId): ShareTables {
    val row = waiting[answer.budget] ?: return this
    val heard = row.mapValues { (_, need) ->
        if (replica in need.asked) need.copy(empty = need.empty + (replica to answer.returned)) else need
    }
    return copy(waiting = waiting.put(answer.budget, row.putAll(heard)))
}
