/**
 * Adds, changes and removes the rows of pending requests.
 */
package org.ibismoor.ledger.internal

import kotlinx.collections.immutable.persistentListOf
import org.ibismoor.core.api.AttemptId
import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.ledger.api.BatchSlot
import org.ibismoor.ledger.api.ClaimKey
import org.ibismoor.ledger.api.Extend
import org.ibismoor.ledger.api.LedgerAnswer
import org.ibismoor.ledger.api.LedgerRequest
import org.ibismoor.ledger.api.PendingRow
import org.ibismoor.ledger.api.PendingStage
import org.ibismoor.ledger.api.ProposeCommand
import org.ibismoor.ledger.api.Refused
import org.ibismoor.ledger.api.Reserve

internal fun waitForShare(work: LedgerWork, request: LedgerRequest, budget: BudgetId, wanted: Long): Decision {
    if (work.usage(budget).isExhausted(work.now)) return Decision(work, shareRefusal(work, request, budget))
    val row = PendingRow(
        request = request,
        budget = budget,
        wanted = wanted,
        stage = PendingStage.SHARE,
        deadline = work.now + work.settings.shareWaitMillis,
        retryAt = work.now + work.settings.requestIntervalMillis,
        slots = persistentListOf(),
    )
    val waiting = work.withPending(row)
        .withUsage(budget) { it.copy(waitingAttempts = it.waitingAttempts.add(request.attempt)) }
    return Decision(waiting.queueNeed(budget), null)
}

/** Sets the tokens aside and proposes the claim to the quorum. */
internal fun waitForClaim(work: LedgerWork, request: Reserve): Decision {
    val deadline = work.now + work.settings.claimWaitMillis
    val row = PendingRow(
        request = request,
        budget = request.budget,
        wanted = request.amount,
        stage = PendingStage.CLAIM,
        deadline = deadline,
        retryAt = deadline,
        slots = persistentListOf(),
    )
    val holding = work.withPending(row)
        .withUsage(request.budget) { it.copy(heldTokens = it.heldTokens + request.amount) }
    return Decision(holding.proposeClaim(request), null)
}

internal fun LedgerWork.proposeClaim(request: Reserve): LedgerWork =
    emit(ProposeCommand(ClaimKey(request.key, request.attempt, request.body, wallTime)))

internal fun LedgerWork.withPending(row: PendingRow): LedgerWork {
    val attempt = row.request.attempt
    val due = minOf(row.retryAt, row.deadline)
    return withTables(
        tables.copy(pending = tables.pending.put(attempt, row), pendingDue = tables.pendingDue.plus(due, attempt)),
    )
}

/** Adds a slot to a pending request. Its answer is put into all its slots. */
internal fun LedgerWork.addSlot(attempt: AttemptId, slot: BatchSlot): LedgerWork {
    val row = tables.pending.getValue(attempt)
    return withTables(tables.copy(pending = tables.pending.put(attempt, row.copy(slots = row.slots.add(slot)))))
}

/** Removes the pending request of [attempt], if there is one, without an answer. */
internal fun LedgerWork.withoutPending(attempt: AttemptId): LedgerWork {
    val row = tables.pending[attempt] ?: return this
    val released = if (row.stage == PendingStage.CLAIM) row.wanted else 0
    return withTables(tables.copy(pending = tables.pending.remove(attempt)))
        .withUsage(row.budget) {
            it.copy(heldTokens = it.heldTokens - released, waitingAttempts = it.waitingAttempts.remove(attempt))
        }
}

internal fun LedgerWork.answerPending(attempt: AttemptId, answer: LedgerAnswer): LedgerWork {
    val row = tables.pending[attempt] ?: return this
    val answered = withoutPending(attempt).answerSlots(row.slots, answer)
    return answered.withTables(answered.tables.withFreedBudget(row.budget))
}

/** Refusal of a request that the share does not cover. */
internal fun shareRefusal(work: LedgerWork, request: LedgerRequest, budget: BudgetId): Refused {
    val isExhausted = work.usage(budget).isExhausted(work.now)
    return request.refusal(
        reason = if (isExhausted) RefusalReason.BUDGET_EXHAUSTED else RefusalReason.SHARE_EXHAUSTED,
        outcome = if (request is Extend) Outcome.MAY_HAVE_RUN else Outcome.NOT_RUN,
    )
}
