/**
 * Sends charges and counters to the quorum, one batch at a time, until they are merged. A batch without an answer may
 * have been committed: charges are numbered and counters are merged by maximum, so a later batch may safely repeat any
 * part of it.
 */
package org.ibismoor.ledger.internal

import kotlinx.collections.immutable.persistentHashSetOf
import kotlinx.collections.immutable.toPersistentHashSet
import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickSystem
import org.ibismoor.ledger.api.DomainLedgerEffect
import org.ibismoor.ledger.api.DomainLedgerMessage
import org.ibismoor.ledger.api.DomainLedgerSettings
import org.ibismoor.ledger.api.DomainLedgerTables
import org.ibismoor.ledger.api.MergeCharges
import org.ibismoor.ledger.api.ProposeCommand
import org.ibismoor.ledger.api.ShareReport

internal class MergeSystem(private val settings: DomainLedgerSettings) :
    TickSystem<DomainLedgerTables, DomainLedgerMessage, DomainLedgerEffect> {
    override fun run(
        tables: DomainLedgerTables,
        tick: Tick<DomainLedgerMessage>,
    ): Step<DomainLedgerTables, DomainLedgerEffect> {
        val work = startWork(tables, tick, settings)
        return if (tick.now < tables.merge.due) Step(tables) else sendBatch(work.requeueMerge()).toStep()
    }

    private fun sendBatch(work: LedgerWork): LedgerWork {
        val tables = work.tables
        val batch = nextBatch(work)
        val sent = batch.counters.map { it.budget }.toPersistentHashSet()
        val merge = tables.merge.copy(
            due = work.now + settings.resendIntervalMillis,
            inFlight = batch,
            dirty = tables.merge.dirty.removeAll(sent),
            sent = sent,
        )
        return work.withTables(tables.copy(merge = merge)).emit(ProposeCommand(batch))
    }

    private fun nextBatch(work: LedgerWork): MergeCharges {
        val durable = work.tables.durable
        val last = minOf(durable.lastChargeNumber, durable.mergedCharge + settings.maximumBatchSize)
        val charges = (durable.mergedCharge + 1..last)
            .map { durable.charges.getValue(durable.chargeOrder.entries.getValue(it)).charge }
        val isAll = last == durable.lastChargeNumber
        return MergeCharges(
            replica = work.tables.replica,
            sequence = last,
            charges = charges,
            counters = counters(work.tables, charges.map { it.budget }),
            through = if (isAll) work.wallTime else charges.last().chargedAt,
        )
    }

    /** Counters of the charged budgets come first: a charge must not be merged before the counter that includes it. */
    private fun counters(tables: DomainLedgerTables, charged: List<BudgetId>): List<ShareReport> =
        (charged.asSequence() + tables.merge.dirty.asSequence()).distinct().take(settings.maximumBatchSize).map { id ->
            val row = tables.durable.budget(id)
            ShareReport(id, row.spent, row.returned)
        }.toList()
}

internal fun LedgerWork.completeMerge(): LedgerWork {
    val merge = tables.merge
    val isIdle = merge.dirty.isEmpty() && tables.durable.lastChargeNumber == tables.durable.mergedCharge
    val wait = if (isIdle) settings.idleMergeIntervalMillis else settings.mergeIntervalMillis
    val next = merge.copy(due = now + wait, inFlight = null, sent = persistentHashSetOf())
    return withTables(tables.copy(merge = next))
}

/** Schedules the content of the batch in flight to be sent again, since it may not have been merged. */
internal fun LedgerWork.requeueMerge(): LedgerWork {
    val merge = tables.merge
    val next = merge.copy(
        due = now + settings.mergeIntervalMillis,
        inFlight = null,
        dirty = merge.dirty.addAll(merge.sent),
        sent = persistentHashSetOf(),
    )
    return withTables(tables.copy(merge = next))
}
