/**
 * Drops charges, claims and released attempts whose retention has ended. Ages are measured on the monotonic clock with
 * marks in the retention orders, so a step of the wall clock drops nothing early. After a restart, the retention of all
 * rows starts anew.
 */
package org.ibismoor.ledger.internal

import kotlinx.collections.immutable.PersistentList
import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickSystem
import org.ibismoor.core.api.Timestamp
import org.ibismoor.ledger.api.DomainLedgerEffect
import org.ibismoor.ledger.api.DomainLedgerMessage
import org.ibismoor.ledger.api.DomainLedgerSettings
import org.ibismoor.ledger.api.DomainLedgerTables
import org.ibismoor.ledger.api.DroppedRecord
import org.ibismoor.ledger.api.DurableLedgerTables
import org.ibismoor.ledger.api.RetentionMark
import org.ibismoor.ledger.api.RetentionRow

/** Interval between marks. The actual retention exceeds its setting by up to this time. */
internal const val RECENT_MARK_INTERVAL_MILLIS = 10_000L
internal const val CLAIM_MARK_INTERVAL_MILLIS = 600_000L

internal class RetentionSystem(private val settings: DomainLedgerSettings) :
    TickSystem<DomainLedgerTables, DomainLedgerMessage, DomainLedgerEffect> {
    override fun run(
        tables: DomainLedgerTables,
        tick: Tick<DomainLedgerMessage>,
    ): Step<DomainLedgerTables, DomainLedgerEffect> =
        if (tick.now < tables.retention.due) {
            Step(tables)
        } else {
            dropExpired(startWork(tables.copy(retention = withMark(tables, tick.now)), tick, settings)).toStep()
        }

    private fun withMark(tables: DomainLedgerTables, now: Timestamp): RetentionRow {
        val row = tables.retention
        val mark = retentionMarkOf(tables.durable, now)
        val isClaimMarkDue = row.claims.lastOrNull()?.let { now - it.time >= CLAIM_MARK_INTERVAL_MILLIS } ?: true
        return row.copy(
            due = now + RECENT_MARK_INTERVAL_MILLIS,
            recent = row.recent.add(mark),
            claims = if (isClaimMarkDue) row.claims.add(mark) else row.claims,
        )
    }

    private fun dropExpired(work: LedgerWork): LedgerWork {
        val row = work.tables.retention
        val recent = row.recent.lastMarkOlderThan(work.now, settings.chargeRetentionMillis)
        val claims = row.claims.lastMarkOlderThan(work.now, settings.claimRetentionMillis)
        val durable = work.tables.durable
        val aged = minOf(recent?.charge ?: 0, durable.mergedCharge)
        val bound = minOf(durable.lastChargeNumber - settings.maximumCharges, durable.mergedCharge)
        val dropped = DroppedRecord(maxOf(aged, bound), claims?.claim ?: 0, recent?.released ?: 0)
        val evicted = bound - maxOf(aged, durable.chargeOrder.first - 1)
        return recordDropped(work, dropped).withRetention { current ->
            RetentionRow(
                due = current.due,
                recent = current.recent.marksAfter(recent),
                claims = current.claims.marksAfter(claims),
                evicted = current.evicted + evicted.coerceAtLeast(0),
            )
        }
    }

    private fun recordDropped(work: LedgerWork, record: DroppedRecord): LedgerWork {
        val durable = work.tables.durable
        val hasExpired = record.charges >= durable.chargeOrder.first || record.claims >= durable.claimOrder.first ||
            record.released >= durable.releasedOrder.first
        return if (hasExpired) work.appendRecord(record) else work
    }

    private fun LedgerWork.withRetention(change: (RetentionRow) -> RetentionRow): LedgerWork =
        withTables(tables.copy(retention = change(tables.retention)))

    private fun PersistentList<RetentionMark>.lastMarkOlderThan(now: Timestamp, retention: Long): RetentionMark? =
        takeWhile { now - it.time >= retention }.lastOrNull()

    private fun PersistentList<RetentionMark>.marksAfter(mark: RetentionMark?): PersistentList<RetentionMark> =
        if (mark == null) this else removeAll { it.time <= mark.time }
}

internal fun retentionMarkOf(durable: DurableLedgerTables, now: Timestamp): RetentionMark =
    RetentionMark(now, durable.lastChargeNumber, durable.claimOrder.next - 1, durable.releasedOrder.next - 1)
