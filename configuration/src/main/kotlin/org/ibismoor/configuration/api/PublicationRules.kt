/**
 * Rules that a publication keeps beside its number: grants are positive and permanent, so that no published file can
 * take back tokens that a failure domain may have spent. Amounts are in budget tokens. Problems are returned as text
 * that names the row; an empty list means that the publication is accepted.
 */
package org.ibismoor.configuration.api

import org.ibismoor.core.api.BudgetId

private const val PER_MILLE = 1_000

/** Sums of grants below this bound leave room for every sum over shares in a 64-bit number. */
private const val MAXIMUM_GRANTED = 1_000_000_000_000_000L

/** Problems of [delta] against the configuration [current] that it is based on. */
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
    val problems = grants.filterValues { it !in 1..MAXIMUM_GRANTED }.keys
        .map { "grant $it of budget $id is not between 1 and $MAXIMUM_GRANTED" } +
        before?.grants.orEmpty().toSortedMap().filter { (grant, amount) -> after.grants[grant] != amount }.keys
            .map { "grant $it of budget $id is dropped or changed, but grants are permanent" }
    val isTooLarge = grants.values.fold(0L) { sum, n -> (sum + n).coerceAtMost(MAXIMUM_GRANTED + 1) } > MAXIMUM_GRANTED
    return problems + if (isTooLarge) listOf("grants of budget $id exceed $MAXIMUM_GRANTED") else emptyList()
}
