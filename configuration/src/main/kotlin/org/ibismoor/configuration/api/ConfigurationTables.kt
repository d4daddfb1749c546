/**
 * The configuration that is in force in one process: one table for each kind of entity.
 */
package org.ibismoor.configuration.api

import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.serialization.Serializable
import org.ibismoor.core.api.ApiKeyDigest
import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.RouteId
import org.ibismoor.core.api.Table
import org.ibismoor.core.api.UpstreamId

@Serializable
data class ConfigurationTables(
    val number: ConfigurationNumber = ConfigurationNumber.NONE,
    val settings: FleetSettings = FleetSettings(),
    val organisations: Table<OrganisationId, Organisation> = persistentHashMapOf(),
    val apiKeys: Table<ApiKeyDigest, ApiKey> = persistentHashMapOf(),
    val budgets: Table<BudgetId, Budget> = persistentHashMapOf(),
    val routes: Table<RouteId, Route> = persistentHashMapOf(),
    val upstreams: Table<UpstreamId, Upstream> = persistentHashMapOf(),
    val controlMembers: Table<ReplicaId, ControlMember> = persistentHashMapOf(),
)
