/**
 * Merges the charges and counters of a replica into the fleet tables. Of several charges of one request key the first
 * one merged is billed; each later one is voided, and its amount is credited to the share that it was charged to.
 */
package org.ibismoor.ledger.internal

import kotlinx.collections.immutable.PersistentMap
import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.ledger.api.Applied
import org.ibismoor.ledger.api.BudgetRow
import org.ibismoor.ledger.api.ChargeRow
import org.ibismoor.ledger.api.CommandRefused
import org.ibismoor.ledger.api.FleetStep
import org.ibismoor.ledger.api.FleetTables
import org.ibismoor.ledger.api.MergeCharges
import org.ibismoor.ledger.api.RetainedKey
import org.ibismoor.ledger.api.ShareReport
import org.ibismoor.ledger.api.ShareRow

internal fun applyMerge(tables: FleetTables, command: MergeCharges): FleetStep {
    val merged = tables.mergedSequences[command.replica] ?: 0
    val missing = command.sequence - command.charges.size - merged
    return if (missing > 0) {
        FleetStep(tables, CommandRefused("charges after $merged of ${command.replica} are missing"))
    } else {
        val repeated = (-missing).coerceAtMost(command.charges.size.toLong()).toInt()
        mergeBatch(tables, command, command.charges.drop(repeated))
    }
}

private fun mergeBatch(tables: FleetTables, command: MergeCharges, charges: List<ChargeRow>): FleetStep {
    val withCounters = command.counters.fold(tables) { t, report -> mergeCounters(t, command.replica, report) }
    val withCharges = charges.fold(withCounters) { t, charge -> mergeCharge(t, charge) }
    val affected = command.counters.map { it.budget } + charges.map { it.budget }
    val changed = affected.filterTo(linkedSetOf()) { withCharges.budgets[it] !== tables.budgets[it] }
    return FleetStep(dropExpiredKeys(withMergeProgress(withCharges, command)), Applied, changed)
}

private fun withMergeProgress(tables: FleetTables, command: MergeCharges): FleetTables {
    val replica = command.replica
    val through = tables.mergedThrough[replica]
    return tables.copy(
        mergedSequences = tables.mergedSequences.put(
            replica,
            maxOf(tables.mergedSequences[replica] ?: 0, command.sequence),
        ),
        mergedThrough = tables.mergedThrough.put(replica, maxOf(through ?: command.through, command.through)),
        latestTime = maxOf(tables.latestTime, command.through),
    )
}

private fun mergeCounters(tables: FleetTables, replica: ReplicaId, report: ShareReport): FleetTables =
    changeShare(tables, report.budget, replica) { share ->
        share.copy(
            spent = maxOf(share.spent, report.spent),
            returned = maxOf(share.returned, report.returned),
        )
    }

private fun mergeCharge(tables: FleetTables, charge: ChargeRow): FleetTables =
    if (charge.key in tables.charges) {
        changeShare(tables, charge.budget, charge.replica) { it.copy(voided = it.voided + charge.amount) }
    } else {
        tables.copy(
            charges = tables.charges.put(charge.key, charge),
            chargeOrder = tables.chargeOrder.plus(RetainedKey(charge.key, maxOf(tables.latestTime, charge.chargedAt))),
        )
    }

/** Changes a share row and recalculates the written-off total of its budget. */
internal fun changeShare(
    tables: FleetTables,
    budget: BudgetId,
    replica: ReplicaId,
    change: (ShareRow) -> ShareRow,
): FleetTables {
    val row = tables.budgets[budget] ?: return tables
    val before = row.share(replica)
    val after = change(before)
    return if (after == before) tables else tables.copy(budgets = withShare(tables, budget, row, replica to after))
}

private fun withShare(
    tables: FleetTables,
    budget: BudgetId,
    row: BudgetRow,
    share: Pair<ReplicaId, ShareRow>,
): PersistentMap<BudgetId, BudgetRow> {
    val shares = row.shares.put(share.first, share.second)
    val next = row.copy(shares = shares, writtenOff = writtenOffTokens(tables, shares))
    return tables.budgets.put(budget, next)
}

internal fun writtenOffTokens(tables: FleetTables, shares: Map<ReplicaId, ShareRow>): Long =
    if (tables.retired.isEmpty()) 0 else shares.filterKeys(tables::isRetired).values.sumOf { it.remaining }
