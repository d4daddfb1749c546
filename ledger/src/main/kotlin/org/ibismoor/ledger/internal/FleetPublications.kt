/**
 * Publication in the fleet tables: number rules, permanent grants and the granted totals of budgets.
 */
package org.ibismoor.ledger.internal

import kotlinx.collections.immutable.mutate
import org.ibismoor.configuration.api.Publication
import org.ibismoor.configuration.api.publicationProblems
import org.ibismoor.configuration.api.with
import org.ibismoor.ledger.api.Applied
import org.ibismoor.ledger.api.BudgetRow
import org.ibismoor.ledger.api.FleetStep
import org.ibismoor.ledger.api.FleetTables
import org.ibismoor.ledger.api.PublicationConflict
import org.ibismoor.ledger.api.Publish
import org.ibismoor.ledger.api.StaleDelta

/** Numbers and digests that are kept to recognise a publication that is sent again. */
private const val RETAINED_PUBLICATIONS = 1_000

internal fun applyPublication(tables: FleetTables, command: Publish): FleetStep {
    val current = tables.configuration.number
    val number = command.delta.number
    val known = tables.publications.lastOrNull { it.number == number }
    return when {
        known?.digest == command.digest -> FleetStep(tables, Applied)
        known != null -> conflict(tables, known, "number $number was published with other content")
        number <= current -> conflict(tables, Publication(current, ""), "number $number is below $current")
        command.delta.base != current -> FleetStep(tables, StaleDelta(current))
        else -> publishChecked(tables, command)
    }
}

private fun conflict(tables: FleetTables, winner: Publication, problem: String): FleetStep =
    FleetStep(tables, PublicationConflict(winner.number, winner.digest.ifEmpty { null }, problem))

private fun publishChecked(tables: FleetTables, command: Publish): FleetStep {
    val problems = publicationProblems(tables.configuration, command.delta)
    val winner = tables.publications.lastOrNull() ?: Publication(tables.configuration.number, "")
    return if (problems.isEmpty()) publish(tables, command) else conflict(tables, winner, problems.joinToString("; "))
}

private fun publish(tables: FleetTables, command: Publish): FleetStep {
    val granted = command.delta.budgets.changed.mapValues { (_, budget) -> budget.granted }
    val changed = granted.filter { (id, total) -> tables.budgets[id]?.granted != total }
    val budgets = tables.budgets.mutate { rows ->
        changed.forEach { (id, total) -> rows[id] = rows[id]?.copy(granted = total) ?: BudgetRow(total) }
    }
    val publications = tables.publications.add(Publication(command.delta.number, command.digest))
    val surplus = publications.size - RETAINED_PUBLICATIONS
    val next = tables.copy(
        configuration = tables.configuration.with(command.delta),
        budgets = budgets,
        publications = if (surplus > 0) publications.removeAt(0) else publications,
    )
    return FleetStep(next, Applied, changed.keys)
}
