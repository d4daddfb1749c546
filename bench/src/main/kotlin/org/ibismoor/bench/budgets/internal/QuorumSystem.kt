/**
 * The fleet state behind the replicated log and the share allocator beside its leader. The log is simulated: commands
 * are committed in the order of arrival, and those of a partitioned sender are dropped.
 */
package org.ibismoor.bench.budgets.internal

import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickSystem
import org.ibismoor.core.api.Timestamp
import org.ibismoor.ledger.api.CommandFinished
import org.ibismoor.ledger.api.DomainLedgerMessage
import org.ibismoor.ledger.api.FleetObserved
import org.ibismoor.ledger.api.IssueTokens
import org.ibismoor.ledger.api.NotifySharesExhausted
import org.ibismoor.ledger.api.RequestReturn
import org.ibismoor.ledger.api.ReturnRequested
import org.ibismoor.ledger.api.ShareEffect
import org.ibismoor.ledger.api.ShareMessage
import org.ibismoor.ledger.api.SharesExhausted
import org.ibismoor.ledger.api.applyCommand
import org.ibismoor.ledger.api.createShareAllocator

private const val WAYS_PER_ROUND_TRIP = 2L

internal class QuorumSystem(private val plan: ReplayPlan) : TickSystem<ReplayTables, ReplayEvent, Nothing> {
    private val machine = createShareAllocator(plan.policy)
    private val deployment = plan.deployment

    override fun run(tables: ReplayTables, tick: Tick<ReplayEvent>): Step<ReplayTables, Nothing> {
        val handled = tick.messages.fold(tables) { t, event ->
            when (event) {
                is CommandCommitted -> if (isLost(t, event.from)) t else commitCommand(t, event, tick)
                is AllocatorMessageArrived -> if (isLost(t, event.from)) t else allocate(t, listOf(event.message), tick)
                else -> t
            }
        }
        val isDue = machine.nextDue(handled.shares)?.let { it <= tick.now } ?: false
        return Step(if (isDue) allocate(handled, emptyList(), tick) else handled)
    }

    fun nextDue(tables: ReplayTables): Timestamp? = machine.nextDue(tables.shares)

    private fun isLost(tables: ReplayTables, from: ReplicaId) = tables.isPartitioned && from == deployment.minority

    private fun commitCommand(tables: ReplayTables, event: CommandCommitted, tick: Tick<ReplayEvent>): ReplayTables {
        val step = applyCommand(tables.fleet, event.command)
        val observed =
            allocate(tables.copy(fleet = step.tables), listOf(FleetObserved(step.tables, step.changed)), tick)
        val applied = deployment.replicas.fold(observed) { t, replica ->
            t.schedule(tick.now + delayTo(replica), EntriesApplied(replica, step.changed))
        }
        return sendTo(applied, event.from, CommandFinished(event.command, step.result), tick.now)
    }

    private fun allocate(tables: ReplayTables, messages: List<ShareMessage>, tick: Tick<ReplayEvent>): ReplayTables {
        val step = machine.run(tables.shares, Tick(tick.now, tick.wallTime, messages))
        return step.effects.fold(tables.copy(shares = step.tables)) { t, effect -> performEffect(t, effect, tick.now) }
    }

    private fun performEffect(tables: ReplayTables, effect: ShareEffect, now: Timestamp): ReplayTables =
        when (effect) {
            is IssueTokens ->
                tables.schedule(
                    now + deployment.oneWayMillis * WAYS_PER_ROUND_TRIP,
                    CommandCommitted(effect.command, deployment.leader),
                )
            is RequestReturn ->
                sendTo(tables, effect.replica, ReturnRequested(effect.budget, effect.amount, effect.urgent), now)
            is NotifySharesExhausted -> sendTo(tables, effect.replica, SharesExhausted(effect.exhausted), now)
        }

    private fun sendTo(
        tables: ReplayTables,
        to: ReplicaId,
        message: DomainLedgerMessage,
        now: Timestamp,
    ): ReplayTables =
        tables.schedule(now + delayTo(to), LedgerMessageArrived(to, message, from = deployment.leader))

    private fun delayTo(replica: ReplicaId) = if (replica == deployment.leader) 0 else deployment.oneWayMillis
}
