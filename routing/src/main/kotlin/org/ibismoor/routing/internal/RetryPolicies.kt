/**
 * Retry policies. Budgets are in thousandths of a retry, so one retry per second is one thousandth per millisecond.
 */
package org.ibismoor.routing.internal

import org.ibismoor.core.api.SeededRandom
import org.ibismoor.core.api.Timestamp
import org.ibismoor.routing.api.RetryBudgetRow
import org.ibismoor.routing.api.RetryPolicy

private const val ONE_RETRY = 1_000L
private const val CREDIT_PER_REQUEST = 100L
private const val CREDIT_PER_MILLI = 1L

// Covers the attempts that fail at a lost engine before it is ejected.
private const val MAX_BUDGET = 10 * ONE_RETRY
private const val FIRST_BACKOFF_MILLIS = 20L
private const val MAX_BACKOFF_SHIFT = 6

internal object UnboundedRetries : RetryPolicy {
    override fun creditRequest(budget: RetryBudgetRow, now: Timestamp): RetryBudgetRow = budget

    override fun debitRetry(budget: RetryBudgetRow, now: Timestamp): RetryBudgetRow = budget

    override fun backoffMillis(count: Int, random: SeededRandom): Long = 0
}

internal object BudgetedRetries : RetryPolicy {
    override fun creditRequest(budget: RetryBudgetRow, now: Timestamp): RetryBudgetRow =
        RetryBudgetRow((remaining(budget, now) + CREDIT_PER_REQUEST).coerceAtMost(MAX_BUDGET), now)

    override fun debitRetry(budget: RetryBudgetRow, now: Timestamp): RetryBudgetRow? =
        (remaining(budget, now) - ONE_RETRY).takeIf { it >= 0 }?.let { RetryBudgetRow(it, now) }

    override fun backoffMillis(count: Int, random: SeededRandom): Long {
        val longest = FIRST_BACKOFF_MILLIS shl (count - 1).coerceIn(0, MAX_BACKOFF_SHIFT)
        return longest / 2 + random.below(longest / 2 + 1)
    }

    private fun remaining(budget: RetryBudgetRow, now: Timestamp): Long {
        val remaining = budget.remaining ?: MAX_BUDGET
        return (remaining + (now - budget.updatedAt) * CREDIT_PER_MILLI).coerceAtMost(MAX_BUDGET)
    }
}
