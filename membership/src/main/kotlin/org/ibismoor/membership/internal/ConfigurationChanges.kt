/**
 * The configuration change to send to a router: the composition of the retained deltas from its number on, or the whole
 * configuration as one delta from number 0 if one of the deltas is no longer retained.
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
 * The change for a router that has [number]. Null if the router is up to date, or if any router has reported a later
 * number than this process has: then this process is outdated and must not serve its configuration.
 */
internal fun MembershipTables.configurationChangeFrom(number: ConfigurationNumber): ConfigurationDelta? =
    if (number >= configuration.number || highestReported > configuration.number) {
        null
    } else {
        composedDeltaFrom(number) ?: deltaBetween(ConfigurationTables(), configuration).forRouters()
    }

private fun MembershipTables.composedDeltaFrom(number: ConfigurationNumber): ConfigurationDelta? {
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
