/**
 * Rules for the content of a publication: grants are positive and permanent, so that no publication takes back tokens
 * that a failure domain may have spent already. Amounts are in budget tokens.
 */
package org.ibismoor.configuration.api

import org.ibismoor.core.api.BudgetId

private const val PER_MILLE = 1_000

/** Limit for one grant and for the sum of a budget's grants, so that no sum over shares overflows a 64-bit number. */
private const val MAXIMUM_GRANTED_TOKENS = 1_000_000_000_000_000L

/**
 * The rules that [delta] breaks when it is applied to [current]. Each text names the row; an empty list means that the
 * publication is acceptable.
 */
fun publicationProblems(current: ConfigurationTables, delta: ConfigurationDelta): List<String> =
    settingsProblems(delta) +
        delta.budgets.removed.sorted().map { "budget $it is removed, but its grants are permanent" } +
        delta.budgets.changed.toSortedMap().flatMap { (id, budget) -> budgetProblems(id, current.budgets[id], budget) }

private fun settingsProblems(delta: ConfigurationDelta): List<String> {
    val heldBack = delta.settings?.heldBackPerMille ?: 0
    return if (heldBack in 0..PER_MILLE) emptyList() else listOf("held back part $heldBack is outside 0 to $PER_MILLE")
}

private fun budgetProblems(id: BudgetId, before: Budget?, after: Budget): List<String> {
    val grants = after.grants.toSortedMap()
    val problems = grants.filterValues { it !in 1..MAXIMUM_GRANTED_TOKENS }.keys
        .map { "grant $it of budget $id is not between 1 and $MAXIMUM_GRANTED_TOKENS" } +
        before?.grants.orEmpty().toSortedMap().filter { (grant, amount) -> after.grants[grant] != amount }.keys
            .map { "grant $it of budget $id is dropped or changed, but grants are permanent" }
    val granted = grants.values.fold(0L) { sum, n -> (sum + n).coerceAtMost(MAXIMUM_GRANTED_TOKENS + 1) }
    val sumProblem = "grants of budget $id exceed $MAXIMUM_GRANTED_TOKENS"
    return problems + listOf(sumProblem).filter { granted > MAXIMUM_GRANTED_TOKENS }
}
