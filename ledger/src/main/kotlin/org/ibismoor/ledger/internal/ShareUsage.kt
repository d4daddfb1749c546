/**
 * Observed use of budgets and the needs that follow from it. Use is counted in two windows, and the expected use is
 * the present window plus the part of the last one that the present one does not cover yet.
 */
package org.ibismoor.ledger.internal

import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.Timestamp
import org.ibismoor.ledger.api.ShareNeed
import org.ibismoor.ledger.api.UsageRow

internal fun UsageRow.expected(now: Timestamp, windowMillis: Long): Long {
    val current = rolled(now, windowMillis)
    val left = (windowMillis - (now - current.windowStart)).toDouble() / windowMillis
    return current.inWindow + (current.inLastWindow * left).toLong()
}

private fun UsageRow.rolled(now: Timestamp, windowMillis: Long): UsageRow {
    val elapsed = now - windowStart
    return when {
        elapsed < windowMillis -> this
        elapsed < windowMillis * 2 ->
            copy(windowStart = windowStart + windowMillis, inWindow = 0, inLastWindow = inWindow)
        else -> copy(windowStart = now, inWindow = 0, inLastWindow = 0)
    }
}

internal fun LedgerWork.countUse(budget: BudgetId, amount: Long): LedgerWork =
    withUsage(budget) { row ->
        val current = row.rolled(now, settings.demandMillis)
        current.copy(inWindow = current.inWindow + amount)
    }

/** Notes a need if the tokens left are fewer than the expected use. */
internal fun LedgerWork.noteLow(budget: BudgetId): LedgerWork {
    val expected = usage(budget).expected(now, settings.demandMillis)
    return if (tables.availableTokens(budget) < expected) noteNeed(budget) else this
}

/** Notes a need to send to the leader, unless the leader was asked just before. */
internal fun LedgerWork.noteNeed(budget: BudgetId): LedgerWork {
    val usage = usage(budget)
    val wanted = usage.waiting.sumOf { tables.pending[it]?.wanted ?: 0 }
    val urgent = if (wanted == 0L) 0 else (wanted - tables.availableTokens(budget)).coerceAtLeast(0)
    val interval = if (urgent > 0) settings.askMillis else settings.exhaustedMillis
    val isAsked = usage.askedAt?.let { now - it < interval } ?: false
    return if (isAsked || usage.isExhausted(now)) {
        this
    } else {
        withUsage(budget) { it.copy(askedAt = now) }.withNeed(needOf(budget, urgent))
    }
}

/** Answers the leader that there is nothing more to give back. */
internal fun LedgerWork.noteNoSurplus(budget: BudgetId): LedgerWork {
    val need = tables.needs[budget] ?: needOf(budget, urgent = 0)
    return withNeed(need.copy(hasNoSurplus = true, returned = tables.durable.budget(budget).returned))
}

private fun LedgerWork.needOf(budget: BudgetId, urgent: Long): ShareNeed {
    val usage = usage(budget)
    return ShareNeed(
        budget = budget,
        expected = usage.expected(now, settings.demandMillis),
        urgent = urgent,
        smallest = usage.waiting.minOfOrNull { tables.pending[it]?.wanted ?: 0 } ?: 0,
        available = tables.availableTokens(budget),
        issued = tables.fleet.budgets[budget]?.share(tables.replica)?.issued ?: 0,
    )
}

private fun LedgerWork.withNeed(need: ShareNeed): LedgerWork =
    with(tables.copy(needs = tables.needs.put(need.budget, need.answering(tables.needs[need.budget]))))

/** Keeps the answer of an [earlier] need of the same tick that there is nothing to give back. */
private fun ShareNeed.answering(earlier: ShareNeed?): ShareNeed =
    if (earlier?.hasNoSurplus == true && !hasNoSurplus) copy(hasNoSurplus = true, returned = earlier.returned) else this

internal fun UsageRow.isExhausted(now: Timestamp): Boolean = exhaustedUntil?.let { now < it } ?: false
