/**
 * The partition, the top-up, the sessions of routers, and the measurements of each second.
 */
package org.ibismoor.bench.budgets.internal

import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.SessionId
import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickSystem
import org.ibismoor.core.api.Timestamp
import org.ibismoor.ledger.api.ReachableChanged
import org.ibismoor.ledger.api.SessionContactReceived

private const val SECOND_MILLIS = 1_000L

/** The leader notices a silent replica after two election timeouts and one that is back at its next check. */
private const val SILENCE_MILLIS = 2_400L
private const val CHECK_MILLIS = 500L

internal class PartitionSystem(private val plan: ReplayPlan) : TickSystem<ReplayTables, ReplayEvent, Nothing> {
    private val all = plan.deployment.replicas.toSet()

    override fun run(tables: ReplayTables, tick: Tick<ReplayEvent>): Step<ReplayTables, Nothing> =
        Step(
            tick.messages.fold(tables) { t, event ->
                when (event) {
                    CutStarted -> cut(t, tick.now)
                    CutEnded -> heal(t, tick.now)
                    GrantDue -> t.after(tick.now, CommandCommitted(topUp(t.fleet, plan), plan.deployment.leader))
                    RoutersHeard -> hear(t, tick.now)
                    else -> t
                }
            },
        )

    private fun cut(tables: ReplayTables, now: Timestamp): ReplayTables =
        reachable(tables.copy(isCut = true), all - plan.deployment.minority, now + SILENCE_MILLIS)

    private fun heal(tables: ReplayTables, now: Timestamp): ReplayTables {
        val applied = EntriesApplied(plan.deployment.minority, tables.fleet.budgets.keys)
        val measured = tables.copy(isCut = false, counts = tables.counts.copy(stranded = stranded(tables)))
        return reachable(measured, all, now + CHECK_MILLIS).after(now + plan.deployment.oneWayMillis, applied)
    }

    private fun stranded(tables: ReplayTables): Long =
        tables.counts.deprived.sumOf { budget -> tables.ledgers.values.sumOf { it.availableTokens(budget) } }

    private fun reachable(tables: ReplayTables, replicas: Set<ReplicaId>, at: Timestamp) =
        tables.after(at, AllocatorMessageArrived(ReachableChanged(replicas), plan.deployment.leader))

    private fun hear(tables: ReplayTables, now: Timestamp): ReplayTables {
        val heard = all.fold(tables) { t, replica ->
            t.after(now, LedgerMessageArrived(replica, SessionContactReceived(SessionId(replica.toString()))))
        }
        val least = tables.fleet.budgets.keys.minOf(tables::free)
        val counts = heard.counts.copy(overspent = maxOf(heard.counts.overspent, -least))
        return heard.copy(counts = counts).after(now + SECOND_MILLIS, RoutersHeard)
    }
}
