/**
 * Issues of shares and the replacement of a replica in the fleet tables. An issue is cut to what the pool covers, so
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
    val next = command.issues.fold(tables, ::issue)
    val changed = command.issues.map { it.budget }.filterTo(linkedSetOf()) { next.budgets[it] !== tables.budgets[it] }
    return FleetStep(next, Applied, changed)
}

private fun issue(tables: FleetTables, issue: ShareIssue): FleetTables {
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
        else -> retire(tables, command)
    }
}

/** Writes off what the old replica holds. Its tokens stay issued to it, so nothing is issued twice. */
private fun retire(tables: FleetTables, command: ReplaceReplica): FleetStep {
    val retired = tables.copy(retired = tables.retired.put(command.old, command.new))
    val changed = tables.budgets.filterValues { command.old in it.shares }.keys
    val budgets = tables.budgets.mutate { rows ->
        changed.forEach { id ->
            val row = rows.getValue(id)
            rows[id] = row.copy(writtenOff = writtenOff(retired, row.shares))
        }
    }
    return FleetStep(retired.copy(budgets = budgets), Applied, changed.toSet())
}
