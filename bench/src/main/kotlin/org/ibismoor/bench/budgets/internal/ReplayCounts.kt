/**
 * Results of a run. [overspent] is the most that a budget was overspent by at any second, and [stranded] the tokens
 * that lay unreserved in shares at the end of the partition (of the run, if there is none) while their budget had a
 * false refusal. Both are in budget tokens.
 */
package org.ibismoor.bench.budgets.internal

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashSetOf
import org.ibismoor.core.api.BudgetId

internal data class ReplayCounts(
    val calls: Long = 0,
    val refused: Long = 0,
    val refusedFalsely: Long = 0,
    val overspent: Long = 0,
    val stranded: Long = 0,
    val deprived: PersistentSet<BudgetId> = persistentHashSetOf(),
)
