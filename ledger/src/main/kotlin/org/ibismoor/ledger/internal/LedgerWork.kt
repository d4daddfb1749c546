/**
 * Work of one system in one tick: the current tables, the records to append and the effects. Adding a record changes
 * the durable tables at once.
 */
package org.ibismoor.ledger.internal

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.WallTime
import org.ibismoor.ledger.api.AnswerBatch
import org.ibismoor.ledger.api.AppendRecords
import org.ibismoor.ledger.api.BatchRow
import org.ibismoor.ledger.api.BatchSlot
import org.ibismoor.ledger.api.DomainLedgerEffect
import org.ibismoor.ledger.api.DomainLedgerMessage
import org.ibismoor.ledger.api.DomainLedgerSettings
import org.ibismoor.ledger.api.DomainLedgerTables
import org.ibismoor.ledger.api.DomainRecord
import org.ibismoor.ledger.api.LedgerAnswer
import org.ibismoor.ledger.api.UsageRow

internal data class LedgerWork(
    val tables: DomainLedgerTables,
    val settings: DomainLedgerSettings,
    val now: Timestamp,
    val wallTime: WallTime,
    val records: PersistentList<DomainRecord> = persistentListOf(),
    val effects: PersistentList<DomainLedgerEffect> = persistentListOf(),
) {
    fun withTables(next: DomainLedgerTables): LedgerWork = copy(tables = next)

    fun appendRecord(record: DomainRecord): LedgerWork =
        copy(tables = tables.withRecord(record, now, settings), records = records.add(record))

    fun emit(effect: DomainLedgerEffect): LedgerWork = copy(effects = effects.add(effect))

    fun usage(budget: BudgetId): UsageRow = tables.usage[budget] ?: UsageRow(now)

    fun withUsage(budget: BudgetId, change: (UsageRow) -> UsageRow): LedgerWork =
        withTables(tables.copy(usage = tables.usage.put(budget, change(usage(budget)))))

    /** The batch is answered when its last slot is filled. */
    fun answerSlot(slot: BatchSlot, answer: LedgerAnswer): LedgerWork {
        val row = tables.batches[slot.batch] ?: return this
        val filled = row.copy(answers = row.answers.put(slot.position, answer))
        val isDone = filled.answers.size == filled.size
        return if (isDone) finishBatch(slot.batch, filled) else withTables(withBatch(slot.batch, filled))
    }

    fun answerSlots(slots: List<BatchSlot>, answer: LedgerAnswer): LedgerWork =
        slots.fold(this) { work, slot -> work.answerSlot(slot, answer) }

    fun toStep(): Step<DomainLedgerTables, DomainLedgerEffect> =
        Step(tables, if (records.isEmpty()) effects else listOf(AppendRecords(records)) + effects)

    private fun withBatch(batch: Long, row: BatchRow) = tables.copy(batches = tables.batches.put(batch, row))

    private fun finishBatch(batch: Long, row: BatchRow): LedgerWork =
        withTables(tables.copy(batches = tables.batches.remove(batch)))
            .emit(AnswerBatch(batch, (0 until row.size).map(row.answers::getValue)))
}

internal fun startWork(
    tables: DomainLedgerTables,
    tick: Tick<DomainLedgerMessage>,
    settings: DomainLedgerSettings,
): LedgerWork = LedgerWork(tables, settings, tick.now, tick.wallTime)
