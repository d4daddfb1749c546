/**
 * Decides whether and when a failed attempt is retried. The caller checks for every policy that a retry is safe: work
 * that may have run, bytes already passed on, the deadline.
 */
package org.ibismoor.routing.api

import org.ibismoor.core.api.SeededRandom
import org.ibismoor.core.api.Timestamp
import org.ibismoor.routing.internal.BudgetedRetries
import org.ibismoor.routing.internal.UnboundedRetries

/** [remaining] is in thousandths of a retry as of [updatedAt]; null stands for a full budget. */
data class RetryBudgetRow(val remaining: Long? = null, val updatedAt: Timestamp = Timestamp(0))

interface RetryPolicy {
    /** Credits [budget] for the first attempt of a request. */
    fun creditRequest(budget: RetryBudgetRow, now: Timestamp): RetryBudgetRow

    /** Debits one retry, or returns null if [budget] does not cover it. */
    fun debitRetry(budget: RetryBudgetRow, now: Timestamp): RetryBudgetRow?

    /** Delay before retry number [count], counted from 1. */
    fun backoffMillis(count: Int, random: SeededRandom): Long
}

/** Baseline: every failed attempt is retried immediately. */
fun unboundedRetries(): RetryPolicy = UnboundedRetries

/** Limits retries to 10% of requests plus one per second, with exponential backoff and jitter. */
fun budgetedRetries(): RetryPolicy = BudgetedRetries
