/**
 * Creates, restores and compacts a domain ledger, which decides on all reservations, settlements and claims of one
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
import org.ibismoor.ledger.internal.retentionMarkOf
import org.ibismoor.ledger.internal.withRecord

/** Creates the machine. [restoreDomainLedger] makes its first tables, from no records if the ledger is new. */
fun createDomainLedger(
    settings: DomainLedgerSettings = DomainLedgerSettings(),
): TickMachine<DomainLedgerTables, DomainLedgerMessage, DomainLedgerEffect> = DomainLedgerMachine(settings)

/**
 * Restores the tables of [replica] from the records of its log and the applied state [fleet] of the replicated log. The
 * last contact of each session with an open reservation is set to [now], and the retention of all rows starts anew.
 */
fun restoreDomainLedger(
    replica: ReplicaId,
    records: List<DomainRecord>,
    fleet: FleetTables,
    now: Timestamp,
): DomainLedgerTables {
    val durable = records.fold(DurableLedgerTables()) { tables, record -> tables.withRecord(record) }
    val sessions = durable.sessionKeys.keys.sorted()
    val mark = persistentListOf(retentionMarkOf(durable, now))
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

/** Records of a compacted log: a checkpoint and one record for each row. They restore the same tables. */
fun compactRecords(tables: DomainLedgerTables): List<DomainRecord> {
    val durable = tables.durable
    return listOf(checkpointOf(durable)) +
        durable.budgets.map { (id, row) -> BudgetRecord(id, row.spent, row.returned) } +
        retainedCharges(durable) +
        durable.claims.map { (key, row) -> RetainedClaimRecord(key, row) } +
        durable.released.map { (attempt, row) -> RetainedReleaseRecord(attempt, row) } +
        durable.reservations.map { (key, row) -> RetainedReservationRecord(key, row) } +
        durable.claimReports.map { (key, command) -> RetainedReportRecord(key, command) }
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

private fun retainedCharges(durable: DurableLedgerTables): List<RetainedChargeRecord> =
    durable.chargeOrder.entries.map { (number, key) -> RetainedChargeRecord(number, durable.charges.getValue(key)) }
