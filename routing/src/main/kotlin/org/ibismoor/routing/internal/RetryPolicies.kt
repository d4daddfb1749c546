/**
 * Retry policies. Budgets are counted in thousandths of a retry, which are also milliseconds at 1/s.
 */
package org.ibismoor.routing.internal

import org.ibismoor.core.api.SeededRandom
import org.ibismoor.core.api.Timestamp
import org.ibismoor.routing.api.RetryBudgetRow
import org.ibismoor.routing.api.RetryPolicy

private const val ONE_RETRY = 1_000L
private const val EARNED_PER_REQUEST = 100L
private const val EARNED_PER_MILLI = 1L

// Enough for the attempts that fail at a lost engine before it is ejected.
private const val LARGEST_BUDGET = 10 * ONE_RETRY
private const val FIRST_BACKOFF_MILLIS = 20L
private const val LARGEST_SHIFT = 6

internal object UnboundedRetries : RetryPolicy {
    override fun afterRequest(budget: RetryBudgetRow, now: Timestamp): RetryBudgetRow = budget

    override fun afterRetry(budget: RetryBudgetRow, now: Timestamp): RetryBudgetRow = budget

    override fun backoffMillis(count: Int, random: SeededRandom): Long = 0
}

internal object BudgetedRetries : RetryPolicy {
    override fun afterRequest(budget: RetryBudgetRow, now: Timestamp): RetryBudgetRow =
        RetryBudgetRow((left(budget, now) + EARNED_PER_REQUEST).coerceAtMost(LARGEST_BUDGET), now)

    override fun afterRetry(budget: RetryBudgetRow, now: Timestamp): RetryBudgetRow? =
        (left(budget, now) - ONE_RETRY).takeIf { it >= 0 }?.let { RetryBudgetRow(it, now) }

    override fun backoffMillis(count: Int, random: SeededRandom): Long {
        val longest = FIRST_BACKOFF_MILLIS shl (count - 1).coerceIn(0, LARGEST_SHIFT)
        return longest / 2 + random.below(longest / 2 + 1)
    }

    private fun left(budget: RetryBudgetRow, now: Timestamp): Long {
        val left = budget.left ?: LARGEST_BUDGET
        return (left + (now - budget.at) * EARNED_PER_MILLI).coerceAtMost(LARGEST_BUDGET)
    }
}
