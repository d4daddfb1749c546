/**
 * Runs the domain ledgers. A command is committed after one way to the leader and a round trip from there.
 */
package org.ibismoor.bench.budgets.internal

import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickSystem
import org.ibismoor.core.api.Timestamp
import org.ibismoor.ledger.api.AnswerBatch
import org.ibismoor.ledger.api.AppendRecords
import org.ibismoor.ledger.api.DomainLedgerEffect
import org.ibismoor.ledger.api.DomainLedgerMessage
import org.ibismoor.ledger.api.FleetAdvanced
import org.ibismoor.ledger.api.NeedsReceived
import org.ibismoor.ledger.api.ProposeCommand
import org.ibismoor.ledger.api.RequestShares
import org.ibismoor.ledger.api.createDomainLedger

private const val WAYS_PER_ROUND_TRIP = 2L

internal class ReplicaSystem(private val plan: ReplayPlan) : TickSystem<ReplayTables, ReplayEvent, Nothing> {
    private val machine = createDomainLedger()
    private val deployment = plan.deployment

    override fun run(tables: ReplayTables, tick: Tick<ReplayEvent>): Step<ReplayTables, Nothing> =
        Step(deployment.replicas.fold(tables) { t, replica -> runLedger(t, replica, tick) })

    fun nextDue(tables: ReplayTables): Timestamp? = tables.ledgers.values.mapNotNull(machine::nextDue).minOrNull()

    private fun runLedger(tables: ReplayTables, replica: ReplicaId, tick: Tick<ReplayEvent>): ReplayTables {
        val messages = tick.messages.mapNotNull { messageFor(tables, replica, it) }
        val ledger = tables.ledgers.getValue(replica)
        val isDue = machine.nextDue(ledger)?.let { it <= tick.now } ?: false
        if (messages.isEmpty() && !isDue) return tables
        val step = machine.run(ledger, Tick(tick.now, tick.wallTime, messages))
        val next = tables.copy(ledgers = tables.ledgers.put(replica, step.tables))
        return step.effects.fold(next) { t, effect -> performEffect(t, replica, effect, tick.now) }
    }

    private fun messageFor(tables: ReplayTables, replica: ReplicaId, event: ReplayEvent): DomainLedgerMessage? =
        when {
            event is LedgerMessageArrived && event.to == replica ->
                event.message.takeUnless { isLost(tables, event.from, replica) }
            event is EntriesApplied && event.to == replica ->
                FleetAdvanced(tables.fleet, event.changed).takeUnless { isLost(tables, deployment.leader, replica) }
            else -> null
        }

    private fun isLost(tables: ReplayTables, from: ReplicaId, to: ReplicaId): Boolean =
        tables.isPartitioned && from != to && deployment.minority in listOf(from, to)

    private fun performEffect(
        tables: ReplayTables,
        replica: ReplicaId,
        effect: DomainLedgerEffect,
        now: Timestamp,
    ): ReplayTables {
        val delay = if (replica == deployment.leader) 0 else deployment.oneWayMillis
        return when (effect) {
            is AppendRecords -> tables
            is AnswerBatch -> effect.answers.fold(tables) { t, answer -> t.schedule(now, CallAnswered(answer)) }
            is ProposeCommand ->
                tables.schedule(
                    now + delay + deployment.oneWayMillis * WAYS_PER_ROUND_TRIP,
                    CommandCommitted(effect.command, replica),
                )
            is RequestShares ->
                tables.schedule(now + delay, AllocatorMessageArrived(NeedsReceived(replica, effect.needs), replica))
        }
    }
}
