/**
 * Decides whether a failed attempt may be followed by another one, and after which time. Safety (work that may have
 * run, bytes passed on, the deadline) is decided elsewhere and holds for every policy.
 */
package org.ibismoor.routing.api

import org.ibismoor.core.api.SeededRandom
import org.ibismoor.core.api.Timestamp
import org.ibismoor.routing.internal.BudgetedRetries
import org.ibismoor.routing.internal.UnboundedRetries

/** Retries that a group has left, in thousandths, as of [at]. */
data class RetryBudgetRow(val left: Long? = null, val at: Timestamp = Timestamp(0))

interface RetryPolicy {
    /** The budget after a first attempt. */
    fun afterRequest(budget: RetryBudgetRow, now: Timestamp): RetryBudgetRow

    /** The budget after a retry, or null if none is left. */
    fun afterRetry(budget: RetryBudgetRow, now: Timestamp): RetryBudgetRow?

    /** Milliseconds before retry number [count], counted from 1. */
    fun backoffMillis(count: Int, random: SeededRandom): Long
}

/** Baseline: every failed attempt is retried at once. */
fun unboundedRetries(): RetryPolicy = UnboundedRetries

/** Retries are at most 10% of requests plus 1/s, after an exponential backoff with jitter. */
fun budgetedRetries(): RetryPolicy = BudgetedRetries
