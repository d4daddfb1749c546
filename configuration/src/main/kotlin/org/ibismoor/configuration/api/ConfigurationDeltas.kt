/**
 * Computes and applies configuration deltas.
 */
package org.ibismoor.configuration.api

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

/** The caller must have checked that the base of [delta] is the number of these tables. */
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

/** This delta without budgets, which routers do not need. */
fun ConfigurationDelta.forRouters(): ConfigurationDelta = copy(budgets = TableDelta())
