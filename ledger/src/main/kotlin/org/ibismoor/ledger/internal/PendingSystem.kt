/**
 * Decides pending requests again when their budget has gained tokens, repeats the requests to the leader and the quorum
 * for those that still wait, and refuses those past their deadline.
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
        processDue(resumeFreed(startWork(tables, tick, settings))).toStep()

    private fun resumeFreed(work: LedgerWork): LedgerWork {
        val budgets = work.tables.freedBudgets.sorted()
        return budgets.fold(work.withTables(work.tables.copy(freedBudgets = persistentHashSetOf())), ::resumeWaiting)
    }

    private fun resumeWaiting(work: LedgerWork, budget: BudgetId): LedgerWork =
        work.usage(budget).waitingAttempts.fold(work) { w, attempt ->
            w.tables.pending[attempt]?.let { resumeIfCovered(w, it) } ?: w
        }

    /** All checks run again, since the key may have been used in the meantime. */
    private fun resumeIfCovered(work: LedgerWork, row: PendingRow): LedgerWork =
        if (row.wanted > work.tables.availableTokens(row.budget)) {
            work
        } else {
            decideAgain(work.withoutPending(row.request.attempt), row)
        }

    private fun decideAgain(work: LedgerWork, row: PendingRow): LedgerWork {
        val decision = when (val request = row.request) {
            is Reserve -> checkReserve(work, request)?.let { Decision(work, it) } ?: admitReserve(work, request)
            is Extend -> decideExtend(work, request)
            is Settle, is Cancel ->
                error("attempt ${request.attempt} is pending, but only reserve and extend requests can be")
        }
        val answer = decision.answer
        return if (answer == null) {
            row.slots.fold(decision.work) { w, slot -> w.addSlot(row.request.attempt, slot) }
        } else {
            decision.work.answerSlots(row.slots, answer)
        }
    }

    private fun processDue(work: LedgerWork): LedgerWork {
        val due = work.tables.pendingDue.take(work.now)
        if (due.entries.isEmpty()) return work
        val next = work.withTables(work.tables.copy(pendingDue = due.rest))
        return due.entries.map { it.id }.distinct().fold(next, ::processPending)
    }

    private fun processPending(work: LedgerWork, attempt: AttemptId): LedgerWork {
        val row = work.tables.pending[attempt] ?: return work
        return when {
            row.deadline <= work.now -> refuseOverdue(work, row)
            row.retryAt <= work.now -> retryPending(work, row)
            else -> work.withPending(row)
        }
    }

    private fun refuseOverdue(work: LedgerWork, row: PendingRow): LedgerWork {
        val request = row.request
        val answer = when (row.stage) {
            PendingStage.SHARE -> shareRefusal(work, request, row.budget)
            PendingStage.CLAIM -> request.refusal(RefusalReason.QUORUM_UNAVAILABLE, Outcome.MAY_HAVE_RUN)
        }
        return work.answerPending(request.attempt, answer)
    }

    private fun retryPending(work: LedgerWork, row: PendingRow): LedgerWork {
        val request = row.request
        val isClaim = row.stage == PendingStage.CLAIM && request is Reserve
        val next = if (isClaim) row.deadline else work.now + settings.requestIntervalMillis
        val waiting = work.withPending(row.copy(retryAt = next))
        return if (isClaim) waiting.proposeClaim(request as Reserve) else waiting.queueNeed(row.budget)
    }
}
