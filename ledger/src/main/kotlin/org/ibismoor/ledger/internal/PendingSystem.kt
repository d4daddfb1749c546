/**
 * Lets waiting requests go on when their budget gained tokens, asks again for those that still wait, and refuses
 * those whose wait is over.
 */
package org.ibismoor.ledger.internal

import kotlinx.collections.immutable.persistentHashSetOf
import org.ibismoor.core.api.AttemptId
import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickSystem
import org.ibismoor.ledger.api.Cancel
import org.ibismoor.ledger.api.DomainLedgerEffect
import org.ibismoor.ledger.api.DomainLedgerMessage
import org.ibismoor.ledger.api.DomainLedgerSettings
import org.ibismoor.ledger.api.DomainLedgerTables
import org.ibismoor.ledger.api.Extend
import org.ibismoor.ledger.api.PendingRow
import org.ibismoor.ledger.api.PendingStage
import org.ibismoor.ledger.api.Reserve
import org.ibismoor.ledger.api.Settle

internal class PendingSystem(private val settings: DomainLedgerSettings) :
    TickSystem<DomainLedgerTables, DomainLedgerMessage, DomainLedgerEffect> {
    override fun run(
        tables: DomainLedgerTables,
        tick: Tick<DomainLedgerMessage>,
    ): Step<DomainLedgerTables, DomainLedgerEffect> =
        handleDue(wakeFreed(startWork(tables, tick, settings))).toStep()

    private fun wakeFreed(work: LedgerWork): LedgerWork {
        val freed = work.tables.freed.sorted()
        return freed.fold(work.with(work.tables.copy(freed = persistentHashSetOf())), ::wake)
    }

    private fun wake(work: LedgerWork, budget: BudgetId): LedgerWork =
        work.usage(budget).waiting.fold(work) { w, attempt -> w.tables.pending[attempt]?.let { wake(w, it) } ?: w }

    /** Decides again from the start, since the key may have been used meanwhile. */
    private fun wake(work: LedgerWork, row: PendingRow): LedgerWork =
        if (row.wanted > work.tables.availableTokens(row.budget)) {
            work
        } else {
            resume(work.withoutPending(row.request.attempt), row)
        }

    private fun resume(work: LedgerWork, row: PendingRow): LedgerWork {
        val decision = when (val request = row.request) {
            is Reserve -> checkReserve(work, request)?.let { Decision(work, it) } ?: admitReserve(work, request)
            is Extend -> decideExtend(work, request)
            is Settle, is Cancel -> error("settlements and cancels never wait")
        }
        val answer = decision.answer
        return if (answer == null) {
            row.slots.fold(decision.work) { w, slot -> w.join(row.request.attempt, slot) }
        } else {
            decision.work.answer(row.slots, answer)
        }
    }

    private fun handleDue(work: LedgerWork): LedgerWork {
        val due = work.tables.pendingDue.take(work.now)
        if (due.entries.isEmpty()) return work
        val taken = work.with(work.tables.copy(pendingDue = due.rest))
        return due.entries.map { it.id }.distinct().fold(taken, ::handle)
    }

    private fun handle(work: LedgerWork, attempt: AttemptId): LedgerWork {
        val row = work.tables.pending[attempt] ?: return work
        return when {
            row.deadline <= work.now -> refuse(work, row)
            row.retry <= work.now -> askAgain(work, row)
            else -> work.withPending(row)
        }
    }

    private fun refuse(work: LedgerWork, row: PendingRow): LedgerWork {
        val request = row.request
        val answer = when (row.stage) {
            PendingStage.SHARE -> shareRefusal(work, request, row.budget)
            PendingStage.CLAIM -> request.refused(RefusalReason.QUORUM_UNAVAILABLE, Outcome.MAY_HAVE_RUN)
        }
        return work.finishPending(request.attempt, answer)
    }

    private fun askAgain(work: LedgerWork, row: PendingRow): LedgerWork {
        val request = row.request
        val isClaim = row.stage == PendingStage.CLAIM && request is Reserve
        val next = if (isClaim) row.deadline else work.now + settings.askMillis
        val waiting = work.withPending(row.copy(retry = next))
        return if (isClaim) waiting.proposeClaim(request as Reserve) else waiting.noteNeed(row.budget)
    }
}
