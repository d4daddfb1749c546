/**
 * Makes, restores and compacts a domain ledger: the tables that decide every reservation, settlement and claim of one
 * failure domain.
 */
package org.ibismoor.ledger.api

import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentHashMap
import kotlinx.collections.immutable.toPersistentHashSet
import org.ibismoor.core.api.DueQueue
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.TickMachine
import org.ibismoor.core.api.Timestamp
import org.ibismoor.ledger.internal.DomainLedgerMachine
import org.ibismoor.ledger.internal.markOf
import org.ibismoor.ledger.internal.with

/** The machine of a domain ledger. Its first tables come from [restoreDomainLedger], with no records if it is new. */
fun createDomainLedger(
    settings: DomainLedgerSettings = DomainLedgerSettings(),
): TickMachine<DomainLedgerTables, DomainLedgerMessage, DomainLedgerEffect> = DomainLedgerMachine(settings)

/**
 * Tables of [replica] from the records of its log. [fleet] is the state behind the replicated log as far as it is
 * applied. Each session with an open reservation is taken as heard at [now], and all retention starts anew.
 */
fun restoreDomainLedger(
    replica: ReplicaId,
    records: List<DomainRecord>,
    fleet: FleetTables,
    now: Timestamp,
): DomainLedgerTables {
    val durable = records.fold(DurableLedgerTables()) { tables, record -> tables.with(record) }
    val sessions = durable.sessionKeys.keys.sorted()
    val mark = persistentListOf(markOf(durable, now))
    return DomainLedgerTables(
        replica = replica,
        fleet = fleet,
        durable = durable,
        merge = MergeRow(due = now, dirty = unmergedBudgets(replica, durable, fleet).toPersistentHashSet()),
        retention = RetentionRow(due = now, recent = mark, claims = mark),
        sessions = sessions.associateWith { now }.toPersistentHashMap(),
        sessionsDue = sessions.fold(DueQueue.empty()) { queue, session -> queue.plus(now, session) },
        reportsDue = durable.claimReports.keys.fold(DueQueue.empty()) { queue, key -> queue.plus(now, key) },
    )
}

private fun unmergedBudgets(replica: ReplicaId, durable: DurableLedgerTables, fleet: FleetTables) =
    durable.budgets.filter { (id, row) ->
        val share = fleet.budgets[id]?.share(replica) ?: ShareRow()
        share.spent < row.spent || share.returned < row.returned
    }.keys

/** Records that restore the same tables and are as few as the rows in them. */
fun compactRecords(tables: DomainLedgerTables): List<DomainRecord> {
    val durable = tables.durable
    return listOf(checkpointOf(durable)) +
        durable.budgets.map { (id, row) -> BudgetRecord(id, row.spent, row.returned) } +
        keptCharges(durable) +
        durable.claims.map { (key, row) -> KeptClaimRecord(key, row) } +
        durable.released.map { (attempt, row) -> KeptReleaseRecord(attempt, row) } +
        durable.reservations.map { (key, row) -> KeptReservationRecord(key, row) } +
        durable.claimReports.map { (key, command) -> KeptReportRecord(key, command) }
}

private fun checkpointOf(durable: DurableLedgerTables): CheckpointRecord =
    CheckpointRecord(
        firstCharge = durable.chargeOrder.first,
        nextCharge = durable.chargeOrder.next,
        mergedCharge = durable.mergedCharge,
        firstClaim = durable.claimOrder.first,
        nextClaim = durable.claimOrder.next,
        firstReleased = durable.releasedOrder.first,
        nextReleased = durable.releasedOrder.next,
        latestTime = durable.latestTime,
    )

private fun keptCharges(durable: DurableLedgerTables): List<KeptChargeRecord> =
    durable.chargeOrder.entries.map { (number, key) -> KeptChargeRecord(number, durable.charges.getValue(key)) }
