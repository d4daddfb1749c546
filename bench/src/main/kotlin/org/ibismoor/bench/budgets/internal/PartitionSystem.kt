/**
 * Starts and ends the partition, publishes the top-up, and once a second renews router sessions and measures overspend.
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

/** The leader takes a replica as unreachable after two election timeouts, and as reachable at its next check. */
private const val DETECTION_MILLIS = 2_400L
private const val REACHABLE_CHECK_MILLIS = 500L

internal class PartitionSystem(private val plan: ReplayPlan) : TickSystem<ReplayTables, ReplayEvent, Nothing> {
    private val replicas = plan.deployment.replicas.toSet()

    override fun run(tables: ReplayTables, tick: Tick<ReplayEvent>): Step<ReplayTables, Nothing> =
        Step(
            tick.messages.fold(tables) { t, event ->
                when (event) {
                    PartitionStarted -> startPartition(t, tick.now)
                    PartitionEnded -> endPartition(t, tick.now)
                    TopUpDue -> publishTopUp(t, tick.now)
                    RouterContactDue -> renewSessions(t, tick.now)
                    else -> t
                }
            },
        )

    private fun publishTopUp(tables: ReplayTables, now: Timestamp): ReplayTables =
        tables.schedule(now, CommandCommitted(topUpPublication(tables.fleet, plan), plan.deployment.leader))

    private fun startPartition(tables: ReplayTables, now: Timestamp): ReplayTables =
        notifyReachable(tables.copy(isPartitioned = true), replicas - plan.deployment.minority, now + DETECTION_MILLIS)

    private fun endPartition(tables: ReplayTables, now: Timestamp): ReplayTables {
        val applied = EntriesApplied(plan.deployment.minority, tables.fleet.budgets.keys)
        val counts = tables.counts.copy(strandedTokens = strandedTokens(tables))
        val measured = tables.copy(isPartitioned = false, counts = counts)
        return notifyReachable(measured, replicas, now + REACHABLE_CHECK_MILLIS)
            .schedule(now + plan.deployment.oneWayMillis, applied)
    }

    private fun strandedTokens(tables: ReplayTables): Long =
        tables.counts.deniedBudgets.sumOf { budget -> tables.ledgers.values.sumOf { it.availableTokens(budget) } }

    private fun notifyReachable(tables: ReplayTables, reachable: Set<ReplicaId>, at: Timestamp) =
        tables.schedule(at, AllocatorMessageArrived(ReachableChanged(reachable), plan.deployment.leader))

    private fun renewSessions(tables: ReplayTables, now: Timestamp): ReplayTables {
        val renewed = replicas.fold(tables) { t, replica ->
            t.schedule(now, LedgerMessageArrived(replica, SessionContactReceived(SessionId(replica.toString()))))
        }
        val lowestFree = tables.fleet.budgets.keys.minOf(tables::freeTokens)
        val counts = renewed.counts.copy(overspentTokens = maxOf(renewed.counts.overspentTokens, -lowestFree))
        return renewed.copy(counts = counts).schedule(now + SECOND_MILLIS, RouterContactDue)
    }
}
