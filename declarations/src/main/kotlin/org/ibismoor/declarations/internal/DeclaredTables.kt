/**
 * All declarations of a set of files as lists of rows with their places. Names may still be duplicated here; the checks
 * report that.
 */
package org.ibismoor.declarations.internal

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf

internal data class DeclaredTables(
    val organisations: PersistentList<DeclaredOrganisation> = persistentListOf(),
    val budgets: PersistentList<DeclaredBudget> = persistentListOf(),
    val routes: PersistentList<DeclaredRoute> = persistentListOf(),
    val upstreams: PersistentList<DeclaredUpstream> = persistentListOf(),
    val members: PersistentList<DeclaredMember> = persistentListOf(),
    val settings: PersistentList<Located<DeclaredSettings>> = persistentListOf(),
) {
    operator fun plus(other: DeclaredTables): DeclaredTables =
        DeclaredTables(
            organisations.addAll(other.organisations),
            budgets.addAll(other.budgets),
            routes.addAll(other.routes),
            upstreams.addAll(other.upstreams),
            members.addAll(other.members),
            settings.addAll(other.settings),
        )
}
