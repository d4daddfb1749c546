/**
 * Issues tokens from the pool for the needs of replicas, and reclaims tokens from other replicas if the pool is short.
 */
package org.ibismoor.ledger.internal

import kotlinx.collections.immutable.persistentHashMapOf
import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickSystem
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.foldSteps
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

/** A domain ledger refuses a waiting request after 500 ms, so tokens returned later only help the next one. */
internal const val RETURN_WAIT_MILLIS = 400L

internal class NeedSystem(private val policy: ShareSizingPolicy) : TickSystem<ShareTables, ShareMessage, ShareEffect> {
    override fun run(tables: ShareTables, tick: Tick<ShareMessage>): Step<ShareTables, ShareEffect> {
        val messages = if (tables.isLeader) tick.messages.filterIsInstance<NeedsReceived>() else emptyList()
        val needs = messages.flatMap { message -> message.needs.map { message.replica to it } }
        return foldSteps(tables, needs) { table, (replica, need) ->
            val updated = withExpectedUse(table, replica, need)
            val current = if (need.hasNoSurplus) updated.withNoSurplus(need, replica) else updated
            handleNeed(current, replica, need, tick.now)
        }
    }

    private fun withExpectedUse(tables: ShareTables, replica: ReplicaId, need: ShareNeed): ShareTables {
        val row = tables.expectedUse[need.budget] ?: persistentHashMapOf()
        return tables.copy(expectedUse = tables.expectedUse.put(need.budget, row.put(replica, need.expected)))
    }

    /**
     * While an urgent need waits, tokens are not issued for the expected use of other replicas. Otherwise a replica
     * could get back the tokens that it has just returned, and two replicas could take them from each other in turn.
     */
    private fun handleNeed(
        tables: ShareTables,
        replica: ReplicaId,
        need: ShareNeed,
        now: Timestamp,
    ): Step<ShareTables, ShareEffect> {
        val hasUrgentNeed = tables.waitingNeeds[need.budget].orEmpty().values.any { it.isUrgent }
        return when {
            need.urgent > 0 && tables.isRecentlyExhausted(need, now) ->
                Step(tables, listOf(NotifySharesExhausted(replica, listOf(need.budget))))
            need.urgent > 0 -> Step(enqueue(tables, replica, need, now))
            need.hasNoSurplus || hasUrgentNeed || replica in tables.waitingNeeds[need.budget].orEmpty() -> Step(tables)
            else -> serveExpectedUse(tables, replica, need, now)
        }
    }

    /** A repeated need moves to the end of the queue and keeps the replies that other replicas sent for it. */
    private fun enqueue(tables: ShareTables, replica: ReplicaId, need: ShareNeed, now: Timestamp): ShareTables {
        val replies = tables.waitingNeeds[need.budget]?.get(replica)?.emptyHolders.orEmpty()
        val waiting = WaitingNeed(
            need = need,
            deadline = now + RETURN_WAIT_MILLIS,
            issuedGoal = need.issued + need.urgent,
            requestedFrom = replies.keys,
            emptyHolders = replies,
        )
        return tables.withWaitingNeed(need.budget, replica, waiting)
    }

    private fun serveExpectedUse(
        tables: ShareTables,
        replica: ReplicaId,
        need: ShareNeed,
        now: Timestamp,
    ): Step<ShareTables, ShareEffect> {
        val view = viewOf(tables, need.budget)
        val amount = policy.issueAmount(view, replica, need).coerceIn(0, view.pool.coerceAtLeast(0))
        val issued = listOfNotNull(issueTokens(tables, need.budget, mapOf(replica to amount)))
        val lacking = need.expected - amount
        val wanted = if (lacking > 0) policy.reclaimAmounts(view, replica, need, lacking) else emptyMap()
        val reclaimed = wanted.filterValues { it > 0 }
        val goal = (tables.fleet.budgets[need.budget]?.share(replica)?.issued ?: 0) + amount + 1
        val waiting = WaitingNeed(need, now + RETURN_WAIT_MILLIS, goal, requestedFrom = reclaimed.keys)
        val next = if (reclaimed.isEmpty()) tables else tables.withWaitingNeed(need.budget, replica, waiting)
        return Step(next, issued + reclaimed.map { (holder, surplus) -> RequestReturn(holder, need.budget, surplus) })
    }
}

/** Whether the last check found fewer unreserved tokens than [need] requires, and nothing has changed since. */
private fun ShareTables.isRecentlyExhausted(need: ShareNeed, now: Timestamp): Boolean {
    val counter = fleet.budgets[need.budget]?.changeCounter
    val row = exhaustedBudgets[need.budget] ?: return false
    return now < row.validUntil && row.changeCounter == counter && need.smallest > row.freeTokens
}

/** Changes whenever tokens are granted, spent or voided. */
internal val BudgetRow.changeCounter: Long get() = granted + shares.values.sumOf { it.spent + it.voided }

internal fun ShareTables.withWaitingNeed(budget: BudgetId, replica: ReplicaId, need: WaitingNeed): ShareTables {
    val row = waitingNeeds[budget] ?: persistentHashMapOf()
    return copy(
        waitingNeeds = waitingNeeds.put(budget, row.put(replica, need)),
        waitingDue = waitingDue.plus(need.deadline, budget),
    )
}

internal fun ShareTables.withoutWaitingNeed(budget: BudgetId, replica: ReplicaId): ShareTables {
    val row = (waitingNeeds[budget] ?: persistentHashMapOf()).remove(replica)
    val next = if (row.isEmpty()) waitingNeeds.remove(budget) else waitingNeeds.put(budget, row)
    return copy(waitingNeeds = next)
}

/** Records the reply of [replica] that it has no surplus for every need that requested tokens from it. */
private fun ShareTables.withNoSurplus(answer: ShareNeed, replica: ReplicaId): ShareTables {
    val row = waitingNeeds[answer.budget] ?: return this
    val updated = row.mapValues { (_, need) ->
        if (replica in need.requestedFrom) {
            need.copy(emptyHolders = need.emptyHolders + (replica to answer.returned))
        } else {
            need
        }
    }
    return copy(waitingNeeds = waitingNeeds.put(answer.budget, row.putAll(updated)))
}
