/**
 * Issues tokens to shares and replaces replicas in the fleet tables. An issue is limited to the tokens in the pool, so
 * the sum of all shares never exceeds the granted total.
 */
package org.ibismoor.ledger.internal

import kotlinx.collections.immutable.mutate
import org.ibismoor.ledger.api.Applied
import org.ibismoor.ledger.api.CommandRefused
import org.ibismoor.ledger.api.FleetStep
import org.ibismoor.ledger.api.FleetTables
import org.ibismoor.ledger.api.IssueShares
import org.ibismoor.ledger.api.ReplaceReplica
import org.ibismoor.ledger.api.ShareIssue

internal fun applyIssues(tables: FleetTables, command: IssueShares): FleetStep {
    val next = command.issues.fold(tables, ::applyIssue)
    val changed = command.issues.map { it.budget }.filterTo(linkedSetOf()) { next.budgets[it] !== tables.budgets[it] }
    return FleetStep(next, Applied, changed)
}

private fun applyIssue(tables: FleetTables, issue: ShareIssue): FleetTables {
    val row = tables.budgets[issue.budget] ?: return tables
    val share = row.share(issue.replica)
    val amount = minOf(issue.amount, row.pool)
    val isCurrent = issue.issuedBefore == null || issue.issuedBefore == share.issued
    val isDue = amount > 0 && isCurrent && !tables.isRetired(issue.replica)
    return if (isDue) {
        changeShare(tables, issue.budget, issue.replica) { it.copy(issued = it.issued + amount) }
    } else {
        tables
    }
}

internal fun applyReplacement(tables: FleetTables, command: ReplaceReplica): FleetStep {
    val isValid = command.old.domain == command.new.domain && command.old.epoch < command.new.epoch
    return when {
        !isValid -> FleetStep(tables, CommandRefused("${command.new} cannot replace ${command.old}"))
        tables.isRetired(command.old) -> FleetStep(tables, Applied)
        else -> retireReplica(tables, command)
    }
}

/** Writes off the remaining tokens of the old replica. They stay issued to it, so no token is issued twice. */
private fun retireReplica(tables: FleetTables, command: ReplaceReplica): FleetStep {
    val retired = tables.copy(retired = tables.retired.put(command.old, command.new))
    val changed = tables.budgets.filterValues { command.old in it.shares }.keys
    val budgets = tables.budgets.mutate { rows ->
        changed.forEach { id ->
            val row = rows.getValue(id)
            rows[id] = row.copy(writtenOff = writtenOffTokens(retired, row.shares))
        }
    }
    return FleetStep(retired.copy(budgets = budgets), Applied, changed.toSet())
}
