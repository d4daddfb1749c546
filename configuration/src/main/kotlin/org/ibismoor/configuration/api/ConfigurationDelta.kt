/**
 * The rows in which one publication differs from an earlier one. Applied to the tables with number [base] it gives the
 * tables with [number]. Deltas for routers have no budgets, which only control processes need.
 */
package org.ibismoor.configuration.api

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.ApiKeyDigest
import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.RouteId
import org.ibismoor.core.api.UpstreamId

@Serializable
data class ConfigurationDelta(
    val base: ConfigurationNumber,
    val number: ConfigurationNumber,
    val settings: FleetSettings? = null,
    val organisations: TableDelta<OrganisationId, Organisation> = TableDelta(),
    val apiKeys: TableDelta<ApiKeyDigest, ApiKey> = TableDelta(),
    val budgets: TableDelta<BudgetId, Budget> = TableDelta(),
    val routes: TableDelta<RouteId, Route> = TableDelta(),
    val upstreams: TableDelta<UpstreamId, Upstream> = TableDelta(),
    val controlMembers: TableDelta<ReplicaId, ControlMember> = TableDelta(),
)
