/**
 * Results of a run. [overspentTokens] is the largest overspend of a budget, sampled once a second. [strandedTokens]
 * counts the unreserved tokens in shares of [deniedBudgets], the budgets with a false refusal, at the end of the
 * partition, or of the run if there is no partition.
 */
package org.ibismoor.bench.budgets.internal

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashSetOf
import org.ibismoor.core.api.BudgetId

internal data class ReplayCounts(
    val calls: Long = 0,
    val refused: Long = 0,
    val refusedFalsely: Long = 0,
    val overspentTokens: Long = 0,
    val strandedTokens: Long = 0,
    val deniedBudgets: PersistentSet<BudgetId> = persistentHashSetOf(),
)
