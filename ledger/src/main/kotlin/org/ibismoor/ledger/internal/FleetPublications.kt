/**
 * Applies publications to the fleet tables: checks of the number and the grants, and the granted totals of budgets.
 */
package org.ibismoor.ledger.internal

import kotlinx.collections.immutable.mutate
import org.ibismoor.configuration.api.Publication
import org.ibismoor.configuration.api.publicationProblems
import org.ibismoor.configuration.api.withDelta
import org.ibismoor.ledger.api.Applied
import org.ibismoor.ledger.api.BudgetRow
import org.ibismoor.ledger.api.FleetStep
import org.ibismoor.ledger.api.FleetTables
import org.ibismoor.ledger.api.PublicationConflict
import org.ibismoor.ledger.api.Publish
import org.ibismoor.ledger.api.StaleDelta

/** Number of publications whose digest is retained to recognise one that is sent again. */
private const val RETAINED_PUBLICATIONS = 1_000

internal fun applyPublication(tables: FleetTables, command: Publish): FleetStep {
    val current = tables.configuration.number
    val number = command.delta.number
    val earlier = tables.publications.lastOrNull { it.number == number }
    return when {
        earlier?.digest == command.digest -> FleetStep(tables, Applied)
        earlier != null ->
            publicationConflict(tables, earlier, "number $number was published with other content")
        number <= current ->
            publicationConflict(tables, currentPublication(tables), "number $number is below $current")
        command.delta.base != current -> FleetStep(tables, StaleDelta(current))
        else -> validateAndPublish(tables, command)
    }
}

private fun publicationConflict(tables: FleetTables, winner: Publication, problem: String): FleetStep =
    FleetStep(tables, PublicationConflict(winner.number, winner.digest.ifEmpty { null }, problem))

private fun validateAndPublish(tables: FleetTables, command: Publish): FleetStep {
    val problems = publicationProblems(tables.configuration, command.delta)
    return if (problems.isEmpty()) {
        applyDelta(tables, command)
    } else {
        publicationConflict(tables, currentPublication(tables), problems.joinToString("; "))
    }
}

/** Without a digest before the first publication. */
private fun currentPublication(tables: FleetTables): Publication =
    tables.publications.lastOrNull() ?: Publication(tables.configuration.number, "")

private fun applyDelta(tables: FleetTables, command: Publish): FleetStep {
    val granted = command.delta.budgets.changed.mapValues { (_, budget) -> budget.granted }
    val changed = granted.filter { (id, total) -> tables.budgets[id]?.granted != total }
    val budgets = tables.budgets.mutate { rows ->
        changed.forEach { (id, total) -> rows[id] = rows[id]?.copy(granted = total) ?: BudgetRow(total) }
    }
    val publications = tables.publications.add(Publication(command.delta.number, command.digest))
    val surplus = publications.size - RETAINED_PUBLICATIONS
    val next = tables.copy(
        configuration = tables.configuration.withDelta(command.delta),
        budgets = budgets,
        publications = if (surplus > 0) publications.removeAt(0) else publications,
    )
    return FleetStep(next, Applied, changed.keys)
}
