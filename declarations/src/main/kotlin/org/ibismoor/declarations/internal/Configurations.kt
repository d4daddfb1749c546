/**
 * Converts a checked set of declarations into configuration tables.
 */
package org.ibismoor.declarations.internal

import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.toPersistentHashMap
import kotlinx.collections.immutable.toPersistentList
import org.ibismoor.configuration.api.ApiKey
import org.ibismoor.configuration.api.Budget
import org.ibismoor.configuration.api.ConfigurationTables
import org.ibismoor.configuration.api.ControlMember
import org.ibismoor.configuration.api.FleetSettings
import org.ibismoor.configuration.api.ModelRoute
import org.ibismoor.configuration.api.Organisation
import org.ibismoor.configuration.api.Route
import org.ibismoor.configuration.api.ServiceRoute
import org.ibismoor.configuration.api.ServiceRule
import org.ibismoor.configuration.api.Upstream
import org.ibismoor.core.api.ApiKeyDigest
import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.GrantId
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.RouteId
import org.ibismoor.core.api.UpstreamGroupId
import org.ibismoor.core.api.UpstreamId

internal fun toConfiguration(declared: DeclaredTables): ConfigurationTables =
    ConfigurationTables(
        settings = declared.settings.firstOrNull()?.value?.toRow() ?: FleetSettings(),
        organisations = declared.organisations.map { it.toRow() }.associateBy { it.id }.toPersistentHashMap(),
        apiKeys = declared.organisations.flatMap { it.keyRows() }.associateBy { it.digest }.toPersistentHashMap(),
        budgets = declared.budgets.map { it.toRow() }.associateBy { it.id }.toPersistentHashMap(),
        routes = declared.routes.map { it.toRow() }.associateBy { it.id }.toPersistentHashMap(),
        upstreams = declared.upstreams.map { it.toRow() }.associateBy { it.id }.toPersistentHashMap(),
        controlMembers = declared.members.map { it.toRow() }.associateBy { it.replica }.toPersistentHashMap(),
    )

private fun DeclaredSettings.toRow(): FleetSettings = FleetSettings(heldBackPerMille, reservation)

private fun DeclaredOrganisation.toRow(): Organisation =
    Organisation(OrganisationId(name.value), weight, requestsPerSecond)

private fun DeclaredOrganisation.keyRows(): List<ApiKey> =
    keys.map {
        ApiKey(ApiKeyDigest(it.digest.value), OrganisationId(name.value), BudgetId(it.budget.value), it.priority)
    }

private fun DeclaredBudget.toRow(): Budget {
    val amounts = grants.associate { GrantId(it.id.value) to it.tokens }
    return Budget(
        BudgetId(name.value),
        OrganisationId(organisation.value),
        persistentHashMapOf<GrantId, Long>().putAll(amounts),
    )
}

private fun DeclaredRoute.toRow(): Route =
    when (this) {
        is DeclaredModelRoute -> toModelRoute()
        is DeclaredServiceRoute -> toServiceRoute()
    }

private fun DeclaredModelRoute.toModelRoute(): Route =
    ModelRoute(
        RouteId(name.value),
        UpstreamGroupId(group.value),
        deadlineMillis,
        model.value,
        defaultAnswerTokens.value,
        maximumAnswerTokens.value,
    )

private fun DeclaredServiceRoute.toServiceRoute(): Route {
    val rows = rules.value.map { ServiceRule(it.method.value, it.path.value, it.isIdempotent, it.price) }
    return ServiceRoute(RouteId(name.value), UpstreamGroupId(group.value), deadlineMillis, rows.toPersistentList())
}

private fun DeclaredUpstream.toRow(): Upstream =
    Upstream(
        UpstreamId(name.value),
        UpstreamGroupId(group.value),
        FailureDomainId(domain.value),
        url.value,
        checksFencing,
        supportsResume,
    )

private fun DeclaredMember.toRow(): ControlMember = ControlMember(replica.value, url.value)
