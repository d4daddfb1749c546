/**
 * Distribution of new grants, and the views of budgets that the sizing policy gets.
 */
package org.ibismoor.ledger.internal

import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.ledger.api.BudgetRow
import org.ibismoor.ledger.api.FleetTables
import org.ibismoor.ledger.api.IssueShares
import org.ibismoor.ledger.api.IssueTokens
import org.ibismoor.ledger.api.ShareHolder
import org.ibismoor.ledger.api.ShareIssue
import org.ibismoor.ledger.api.ShareSizingPolicy
import org.ibismoor.ledger.api.ShareTables
import org.ibismoor.ledger.api.ShareView

/**
 * Tokens granted to [budget] since the last fleet state. After a start there is none to compare with, so only the
 * grants of a budget of which nothing was ever issued count as new.
 */
internal fun newlyGranted(tables: ShareTables, fleet: FleetTables, budget: BudgetId): Long {
    val row = fleet.budgets[budget] ?: return 0
    val before = tables.fleet.budgets[budget]?.granted ?: 0
    val isUnissued = row.shares.values.all { it.issued == 0L }
    return if (tables.hasObserved || isUnissued) row.granted - before else 0
}

internal fun issueGrant(
    tables: ShareTables,
    budget: BudgetId,
    amount: Long,
    policy: ShareSizingPolicy,
): IssueTokens? {
    val view = viewOf(tables, budget)
    val issues = if (amount > 0 && view.holders.isNotEmpty()) policy.distributeGrant(view, amount) else emptyMap()
    return issueTokens(tables, budget, issues)
}

internal fun issueTokens(tables: ShareTables, budget: BudgetId, amounts: Map<ReplicaId, Long>): IssueTokens? {
    val row = tables.fleet.budgets[budget] ?: return null
    val issues = amounts.filterValues { it > 0 }.map { (replica, amount) ->
        ShareIssue(budget, replica, amount, issuedBefore = row.share(replica).issued)
    }
    return if (issues.isEmpty()) null else IssueTokens(IssueShares(issues))
}

internal fun viewOf(tables: ShareTables, budget: BudgetId): ShareView {
    val row = tables.fleet.budgets[budget] ?: BudgetRow(0)
    val expected = tables.expectedUse[budget].orEmpty()
    return ShareView(
        budget = budget,
        pool = row.pool,
        heldBackPerMille = tables.fleet.configuration.settings.heldBackPerMille,
        holders = reachableReplicas(tables).map { ShareHolder(it, row.share(it).remaining, expected[it] ?: 0) },
    )
}

internal fun liveReplicas(fleet: FleetTables): List<ReplicaId> =
    fleet.configuration.controlMembers.keys.ifEmpty { fleet.mergedSequences.keys }
        .filterNot(fleet::isRetired)
        .sorted()

private fun reachableReplicas(tables: ShareTables): List<ReplicaId> =
    liveReplicas(tables.fleet).filter { tables.reachable?.contains(it) ?: true }
