/**
 * The configuration change that a router needs: the composition of the kept deltas from its number, or the whole set
 * as one delta from number 0 if one of them is no longer kept.
 */
package org.ibismoor.membership.internal

import org.ibismoor.configuration.api.ConfigurationDelta
import org.ibismoor.configuration.api.ConfigurationNumber
import org.ibismoor.configuration.api.ConfigurationTables
import org.ibismoor.configuration.api.TableDelta
import org.ibismoor.configuration.api.deltaBetween
import org.ibismoor.configuration.api.forRouters
import org.ibismoor.membership.api.MembershipTables

/**
 * Null if the router needs no change, or if some router has reported a later number than this process knows: then
 * this process is behind and serves nothing.
 */
internal fun MembershipTables.changeFrom(number: ConfigurationNumber): ConfigurationDelta? =
    if (number >= configuration.number || highestReported > configuration.number) {
        null
    } else {
        composedFrom(number) ?: deltaBetween(ConfigurationTables(), configuration).forRouters()
    }

private fun MembershipTables.composedFrom(number: ConfigurationNumber): ConfigurationDelta? {
    val chain = generateSequence(deltas[number]) { deltas[it.number] }
    val composed = chain.reduceOrNull(::compose)
    return composed?.takeIf { it.number == configuration.number }
}

private fun compose(a: ConfigurationDelta, b: ConfigurationDelta): ConfigurationDelta =
    ConfigurationDelta(
        base = a.base,
        number = b.number,
        settings = b.settings ?: a.settings,
        organisations = compose(a.organisations, b.organisations),
        apiKeys = compose(a.apiKeys, b.apiKeys),
        budgets = compose(a.budgets, b.budgets),
        routes = compose(a.routes, b.routes),
        upstreams = compose(a.upstreams, b.upstreams),
        controlMembers = compose(a.controlMembers, b.controlMembers),
    )

private fun <K, V> compose(a: TableDelta<K, V>, b: TableDelta<K, V>): TableDelta<K, V> =
    TableDelta(
        changed = a.changed - b.removed.toSet() + b.changed,
        removed = (a.removed - b.changed.keys + b.removed).distinct(),
    )
