/**
 * Demand for budgets and the resulting needs. Demand is counted in two windows; the expected use is the demand of the
 * current window plus the part of the previous one that the current one does not cover yet.
 */
package org.ibismoor.ledger.internal

import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.Timestamp
import org.ibismoor.ledger.api.ShareNeed
import org.ibismoor.ledger.api.UsageRow

internal fun UsageRow.expectedUse(now: Timestamp, windowMillis: Long): Long {
    val current = withCurrentWindow(now, windowMillis)
    val remainingPart = (windowMillis - (now - current.windowStart)).toDouble() / windowMillis
    return current.currentDemand + (current.previousDemand * remainingPart).toLong()
}

private fun UsageRow.withCurrentWindow(now: Timestamp, windowMillis: Long): UsageRow {
    val elapsed = now - windowStart
    return when {
        elapsed < windowMillis -> this
        elapsed < windowMillis * 2 ->
            copy(windowStart = windowStart + windowMillis, currentDemand = 0, previousDemand = currentDemand)
        else -> copy(windowStart = now, currentDemand = 0, previousDemand = 0)
    }
}

internal fun LedgerWork.countDemand(budget: BudgetId, amount: Long): LedgerWork =
    withUsage(budget) { row ->
        val current = row.withCurrentWindow(now, settings.demandWindowMillis)
        current.copy(currentDemand = current.currentDemand + amount)
    }

/** Queues a need if the available tokens do not cover the expected use. */
internal fun LedgerWork.queueNeedIfLow(budget: BudgetId): LedgerWork {
    val expected = usage(budget).expectedUse(now, settings.demandWindowMillis)
    return if (tables.availableTokens(budget) < expected) queueNeed(budget) else this
}

/** Queues a need for the leader, unless one was sent within the minimum interval. */
internal fun LedgerWork.queueNeed(budget: BudgetId): LedgerWork {
    val usage = usage(budget)
    val wanted = usage.waitingAttempts.sumOf { tables.pending[it]?.wanted ?: 0 }
    val urgent = if (wanted == 0L) 0 else (wanted - tables.availableTokens(budget)).coerceAtLeast(0)
    val interval = if (urgent > 0) settings.requestIntervalMillis else settings.exhaustedHoldMillis
    val isRecent = usage.requestedAt?.let { now - it < interval } ?: false
    return if (isRecent || usage.isExhausted(now)) {
        this
    } else {
        withUsage(budget) { it.copy(requestedAt = now) }.withNeed(needOf(budget, urgent))
    }
}

/** Queues the reply to the leader that there are no more tokens to return. */
internal fun LedgerWork.queueNoSurplus(budget: BudgetId): LedgerWork {
    val need = tables.needs[budget] ?: needOf(budget, urgent = 0)
    return withNeed(need.copy(hasNoSurplus = true, returned = tables.durable.budget(budget).returned))
}

private fun LedgerWork.needOf(budget: BudgetId, urgent: Long): ShareNeed {
    val usage = usage(budget)
    return ShareNeed(
        budget = budget,
        expected = usage.expectedUse(now, settings.demandWindowMillis),
        urgent = urgent,
        smallest = usage.waitingAttempts.minOfOrNull { tables.pending[it]?.wanted ?: 0 } ?: 0,
        available = tables.availableTokens(budget),
        issued = tables.fleet.budgets[budget]?.share(tables.replica)?.issued ?: 0,
    )
}

private fun LedgerWork.withNeed(need: ShareNeed): LedgerWork =
    withTables(tables.copy(needs = tables.needs.put(need.budget, need.withReplyOf(tables.needs[need.budget]))))

/** Keeps the no-surplus reply of an [earlier] need of the same tick. */
private fun ShareNeed.withReplyOf(earlier: ShareNeed?): ShareNeed =
    if (earlier?.hasNoSurplus == true && !hasNoSurplus) copy(hasNoSurplus = true, returned = earlier.returned) else this

internal fun UsageRow.isExhausted(now: Timestamp): Boolean = exhaustedUntil?.let { now < it } ?: false
