/**
 * Reports names that are declared twice in a set. Skips empty names, which stand for invalid values that are reported
 * already.
 */
package org.ibismoor.declarations.internal

import org.ibismoor.core.api.Finding

internal fun duplicateNames(declared: DeclaredTables): List<Finding> =
    duplicatesIn("organisation", declared.organisations.map { it.name }) +
        duplicatesIn("key", declared.organisations.flatMap { it.keys }.map { it.digest }) +
        duplicatesIn("budget", declared.budgets.map { it.name }) +
        declared.budgets.flatMap { duplicatesIn("grant", it.grants.map(DeclaredGrant::id)) } +
        duplicatesIn("route", declared.routes.map { it.name }) +
        duplicatesIn("model", declared.routes.filterIsInstance<DeclaredModelRoute>().map { it.model }) +
        duplicatesIn("upstream", declared.upstreams.map { it.name }) +
        duplicatesIn("upstream URL", declared.upstreams.map { it.url }) +
        duplicatesIn("control replica of domain", declared.members.map { it.domain() }) +
        duplicatesIn("control URL", declared.members.map { it.url }) +
        duplicatesIn("settings", declared.settings.map { Located("record", it.place) })

private fun DeclaredMember.domain(): Located<String> = Located(replica.value.domain.text, replica.place)

private fun duplicatesIn(kind: String, values: List<Located<String>>): List<Finding> =
    values.filter { it.value.isNotEmpty() }.groupBy { it.value }.values.flatMap { same ->
        same.drop(1).map {
            Finding(
                it.place,
                "$kind ${it.value} is declared twice",
                "the other declaration is at ${same.first().place}"
            )
        }
    }
