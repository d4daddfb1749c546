/**
 * Finds names that are declared twice in a set. Empty names were reported by the reader and are passed over.
 */
package org.ibismoor.declarations.internal

import org.ibismoor.core.api.Finding

internal fun duplicates(declared: DeclaredTables): List<Finding> =
    repeated("organisation", declared.organisations.map { it.name }) +
        repeated("key", declared.organisations.flatMap { it.keys }.map { it.digest }) +
        repeated("budget", declared.budgets.map { it.name }) +
        declared.budgets.flatMap { repeated("grant", it.grants.map(DeclaredGrant::id)) } +
        repeated("route", declared.routes.map { it.name }) +
        repeated("model", declared.routes.filterIsInstance<DeclaredModelRoute>().map { it.model }) +
        repeated("upstream", declared.upstreams.map { it.name }) +
        repeated("upstream URL", declared.upstreams.map { it.url }) +
        repeated("control replica of domain", declared.members.map { it.domain() }) +
        repeated("control URL", declared.members.map { it.url }) +
        repeated("settings", declared.settings.map { Located("record", it.place) })

private fun DeclaredMember.domain(): Located<String> = Located(replica.value.domain.text, replica.place)

private fun repeated(kind: String, values: List<Located<String>>): List<Finding> =
    values.filter { it.value.isNotEmpty() }.groupBy { it.value }.values.flatMap { same ->
        same.drop(1).map {
            Finding(
                it.place,
                "$kind ${it.value} is declared twice",
                "the other declaration is at ${same.first().place}"
            )
        }
    }
