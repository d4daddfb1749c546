/**
 * Sends charges and counters to the quorum in batches, one at a time, and sends a batch again until it is merged. A
 * batch may be committed although no answer came: charges are numbered, and counters are merged by maximum, so any
 * later batch may repeat it in whole or in part.
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
        return if (tick.now < tables.merge.due) Step(tables) else send(work.mergeFailed()).toStep()
    }

    private fun send(work: LedgerWork): LedgerWork {
        val tables = work.tables
        val batch = nextBatch(work)
        val sent = batch.counters.map { it.budget }.toPersistentHashSet()
        val merge = tables.merge.copy(
            due = work.now + settings.resendMillis,
            inFlight = batch,
            dirty = tables.merge.dirty.removeAll(sent),
            sent = sent,
        )
        return work.with(tables.copy(merge = merge)).emit(ProposeCommand(batch))
    }

    private fun nextBatch(work: LedgerWork): MergeCharges {
        val durable = work.tables.durable
        val last = minOf(durable.lastChargeNumber, durable.mergedCharge + settings.maximumBatch)
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

    /** Counters of the budgets of the charges first, since a charge may not arrive before the spend that it is in. */
    private fun counters(tables: DomainLedgerTables, charged: List<BudgetId>): List<ShareReport> =
        (charged.asSequence() + tables.merge.dirty.asSequence()).distinct().take(settings.maximumBatch).map { id ->
            val row = tables.durable.budget(id)
            ShareReport(id, row.spent, row.returned)
        }.toList()
}

/** Ends the batch in flight, which is merged. */
internal fun LedgerWork.mergeDone(): LedgerWork {
    val merge = tables.merge
    val isIdle = merge.dirty.isEmpty() && tables.durable.lastChargeNumber == tables.durable.mergedCharge
    val wait = if (isIdle) settings.idleMergeMillis else settings.mergeMillis
    val next = merge.copy(due = now + wait, inFlight = null, sent = persistentHashSetOf())
    return with(tables.copy(merge = next))
}

/** Ends the batch in flight, which may be merged or not, so that its content is sent again. */
internal fun LedgerWork.mergeFailed(): LedgerWork {
    val merge = tables.merge
    val next = merge.copy(
        due = now + settings.mergeMillis,
        inFlight = null,
        dirty = merge.dirty.addAll(merge.sent),
        sent = persistentHashSetOf(),
    )
    return with(tables.copy(merge = next))
}
