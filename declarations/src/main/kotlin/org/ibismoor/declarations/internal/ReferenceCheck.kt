/**
 * Reports references to names that no file of the set declares, and API keys whose budget belongs to another
 * organisation.
 */
package org.ibismoor.declarations.internal

import org.ibismoor.core.api.Finding

internal fun danglingReferences(declared: DeclaredTables): List<Finding> {
    val organisations = declared.organisations.map { it.name.value }.toSet()
    val budgets = declared.budgets.map { it.name.value }.toSet()
    val groups = declared.upstreams.map { it.group.value }.toSet()
    val keys = declared.organisations.flatMap { it.keys }
    return undeclared("organisation", declared.budgets.map { it.organisation }, organisations) +
        undeclared("budget", keys.map { it.budget }, budgets) +
        undeclared("upstream group", declared.routes.map { it.group }, groups)
}

private fun undeclared(kind: String, references: List<Located<String>>, names: Set<String>): List<Finding> =
    references.filter { it.value.isNotEmpty() && it.value !in names }.map {
        Finding(it.place, "$kind ${it.value} is not declared", "declare it in any file of the set or correct the name")
    }

/** Without this check a key of one organisation could spend the budget of another. */
internal fun foreignBudgets(declared: DeclaredTables): List<Finding> {
    val owners = declared.budgets.asReversed().associate { it.name.value to it.organisation.value }
    return declared.organisations.flatMap { organisation ->
        organisation.keys.map { it.budget }.filter { isForeign(owners[it.value], organisation.name.value) }.map {
            Finding(
                it.place,
                "budget ${it.value} belongs to another organisation",
                "name a budget of the key's organisation"
            )
        }
    }
}

private fun isForeign(owner: String?, organisation: String): Boolean = !owner.isNullOrEmpty() && owner != organisation
