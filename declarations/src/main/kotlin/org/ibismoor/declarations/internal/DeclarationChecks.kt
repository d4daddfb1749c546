/**
 * The list of checks of a set. Each runs independently of the others, so that all findings are reported together.
 */
package org.ibismoor.declarations.internal

import org.ibismoor.core.api.Finding
import org.ibismoor.declarations.api.DeclarationLimits

internal val declarationChecks: List<DeclarationCheck> =
    listOf(
        DeclarationCheck(::duplicateNames),
        DeclarationCheck(::danglingReferences),
        DeclarationCheck(::foreignBudgets),
        DeclarationCheck(::unreachableRules),
        DeclarationCheck(::contradictoryAnswerBounds),
        DeclarationCheck(::tooManyRows),
    )

private fun tooManyRows(declared: DeclaredTables): List<Finding> =
    listOf(
        declared.organisations.map { it.name },
        declared.organisations.flatMap { it.keys }.map { it.digest },
        declared.budgets.map { it.name },
        declared.budgets.flatMap { it.grants }.map { it.id },
        declared.routes.map { it.name },
        declared.upstreams.map { it.name },
    ).mapNotNull { rows -> rows.getOrNull(DeclarationLimits.MAXIMUM_ROWS) }
        .map { Finding(it.place, "too many rows", "at most ${DeclarationLimits.MAXIMUM_ROWS} of a kind are allowed") }
