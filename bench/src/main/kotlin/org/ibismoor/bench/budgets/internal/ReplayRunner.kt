/**
 * Runs one replay in virtual time: the clock advances from one due time to the next.
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
    var tables = initialTables(plan)
    while (true) {
        val dueTimes = listOfNotNull(tables.events.next, replicas.nextDue(tables), quorum.nextDue(tables))
        val now = dueTimes.min()
        if (now.millis > plan.endMillis) return tables.counts
        val dueEvents = tables.events.take(now)
        val tick = Tick(now, WallTime(now.millis), dueEvents.entries.map { it.id })
        tables = schedule.run(tables.copy(events = dueEvents.rest), tick).tables
    }
}

private fun initialTables(plan: ReplayPlan): ReplayTables {
    val fleet = FleetTables()
    val leader = plan.deployment.leader
    val empty = ReplayTables(
        fleet = fleet,
        ledgers = plan.deployment.replicas
            .associateWith { restoreDomainLedger(it, emptyList(), fleet, start) }
            .toPersistentHashMap(),
        random = SeededRandom(plan.seed),
    )
    // Without a partition, its end event only triggers the measurement of stranded tokens.
    val partitionEnd = if (plan.partitionMillis > 0) plan.partitionEndMillis else plan.endMillis
    val planned = empty
        .schedule(start, AllocatorMessageArrived(LeadershipChanged(true), leader))
        .schedule(start + 1, CommandCommitted(firstPublication(plan), leader))
        .schedule(Timestamp(plan.topUpMillis), TopUpDue)
        .schedule(Timestamp(partitionEnd), PartitionEnded)
        .schedule(start + FIRST_CALL_MILLIS, RouterContactDue)
    val withPartition =
        if (plan.partitionMillis > 0) {
            planned.schedule(Timestamp(plan.partitionStartMillis), PartitionStarted)
        } else {
            planned
        }
    return budgetIds().fold(withPartition) { tables, budget ->
        tables.schedule(start + FIRST_CALL_MILLIS, CallDue(budget))
    }
}

private const val FIRST_CALL_MILLIS = 100L
