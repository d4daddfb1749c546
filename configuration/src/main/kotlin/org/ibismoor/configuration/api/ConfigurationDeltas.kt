/**
 * Makes and applies configuration deltas.
 */
package org.ibismoor.configuration.api

/** The delta from [before] to [after]. */
fun deltaBetween(before: ConfigurationTables, after: ConfigurationTables): ConfigurationDelta =
    ConfigurationDelta(
        base = before.number,
        number = after.number,
        settings = after.settings.takeIf { it != before.settings },
        organisations = TableDelta.between(before.organisations, after.organisations),
        apiKeys = TableDelta.between(before.apiKeys, after.apiKeys),
        budgets = TableDelta.between(before.budgets, after.budgets),
        routes = TableDelta.between(before.routes, after.routes),
        upstreams = TableDelta.between(before.upstreams, after.upstreams),
        controlMembers = TableDelta.between(before.controlMembers, after.controlMembers),
    )

/**
 * These tables with [delta] applied. The caller has checked that the delta's base is the number of the tables.
 */
fun ConfigurationTables.withDelta(delta: ConfigurationDelta): ConfigurationTables =
    ConfigurationTables(
        number = delta.number,
        settings = delta.settings ?: settings,
        organisations = delta.organisations.applyTo(organisations),
        apiKeys = delta.apiKeys.applyTo(apiKeys),
        budgets = delta.budgets.applyTo(budgets),
        routes = delta.routes.applyTo(routes),
        upstreams = delta.upstreams.applyTo(upstreams),
        controlMembers = delta.controlMembers.applyTo(controlMembers),
    )

/** The part of this delta that routers need: everything but budgets. */
fun ConfigurationDelta.forRouters(): ConfigurationDelta = copy(budgets = TableDelta())
