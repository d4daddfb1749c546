/**
 * Runs one replay in virtual time: the clock goes from one due time to the next.
 */
package org.ibismoor.bench.budgets.internal

import kotlinx.collections.immutable.toPersistentHashMap
import org.ibismoor.core.api.SeededRandom
import org.ibismoor.core.api.SystemSchedule
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.WallTime
import org.ibismoor.ledger.api.FleetTables
import org.ibismoor.ledger.api.LeadershipChanged
import org.ibismoor.ledger.api.restoreDomainLedger

private val start = Timestamp(0)

internal fun runReplay(plan: ReplayPlan): ReplayCounts {
    val replicas = ReplicaSystem(plan)
    val quorum = QuorumSystem(plan)
    val schedule = SystemSchedule(listOf(PartitionSystem(plan), CallSystem(plan), quorum, replicas))
    var tables = firstTables(plan)
    while (true) {
        val due = listOfNotNull(tables.events.next, replicas.nextDue(tables), quorum.nextDue(tables))
        val now = due.min()
        if (now.millis > plan.end) return tables.counts
        val taken = tables.events.take(now)
        val tick = Tick(now, WallTime(now.millis), taken.entries.map { it.id })
        tables = schedule.run(tables.copy(events = taken.rest), tick).tables
    }
}

private fun firstTables(plan: ReplayPlan): ReplayTables {
    val fleet = FleetTables()
    val leader = plan.deployment.leader
    val empty = ReplayTables(
        fleet = fleet,
        ledgers = plan.deployment.replicas
            .associateWith { restoreDomainLedger(it, emptyList(), fleet, start) }
            .toPersistentHashMap(),
        random = SeededRandom(plan.seed),
    )
    // Without a partition the end of the cut only marks the time of the measurement.
    val cutEnd = if (plan.partitionMillis > 0) plan.cutEnd else plan.end
    val planned = empty
        .after(start, AllocatorMessageArrived(LeadershipChanged(true), leader))
        .after(start + 1, CommandCommitted(firstPublication(plan), leader))
        .after(Timestamp(plan.topUpAt), GrantDue)
        .after(Timestamp(cutEnd), CutEnded)
        .after(start + FIRST_CALL_MILLIS, RoutersHeard)
    val cut = if (plan.partitionMillis > 0) planned.after(Timestamp(plan.cutAt), CutStarted) else planned
    return budgetsOf().fold(cut) { tables, budget -> tables.after(start + FIRST_CALL_MILLIS, CallDue(budget)) }
}

private const val FIRST_CALL_MILLIS = 100L
