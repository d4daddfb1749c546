/**
 * The configurations that the operator publishes: budgets rise, time-outs change, and one organisation loses its key.
 */
package org.ibismoor.soak.internal.world

import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.UpstreamGroupId
import org.ibismoor.forwarding.api.EngineSettings
import org.ibismoor.forwarding.api.GroupSettings
import org.ibismoor.platform.api.ConfigurationDescription
import org.ibismoor.platform.api.OrganisationDescription
import org.ibismoor.platform.api.RouteDescription
import org.ibismoor.soak.internal.ENGINE_GROUP
import org.ibismoor.soak.internal.SERVICE_GROUP

internal const val FLEET_HOST = "soak.example"
private const val LARGE_BUDGET_TOKENS = 100_000_000L
private const val SMALL_BUDGET_TOKENS = 4_000L
private const val TOP_UP_TOKENS = 2_000L
private const val MAXIMUM_CONNECTIONS = 400
private const val ENGINE_MEMORY_TOKENS = 200_000L
private const val TIMEOUT_MILLIS = 3_000L
private const val TIMEOUT_STEP_MILLIS = 50L
private const val TIMEOUT_STEPS = 4
private const val ATTEMPTS = 2

/** The organisation whose budget runs out, and the one whose key is revoked with this publication. */
private val POOR = OrganisationId("clinic")
private val REVOKED = OrganisationId("visitors")
private const val REVOKING_PUBLICATION = 4

internal fun budgetOf(organisation: OrganisationId, publication: Int): Long =
    if (organisation == POOR) SMALL_BUDGET_TOKENS + TOP_UP_TOKENS * (publication - 1) else LARGE_BUDGET_TOKENS

internal fun isKeyRevoked(organisation: OrganisationId, publication: Int): Boolean =
    organisation == REVOKED && publication >= REVOKING_PUBLICATION

internal fun isKeyRevokedAt(organisation: OrganisationId, publication: Int): Boolean =
    organisation == REVOKED && publication == REVOKING_PUBLICATION

internal fun groupOf(route: SoakRoute): UpstreamGroupId = if (route.kind.isStream) ENGINE_GROUP else SERVICE_GROUP

internal fun describeConfiguration(operator: OperatorRow): ConfigurationDescription =
    ConfigurationDescription(
        version = operator.version,
        host = FLEET_HOST,
        routes = SoakRoute.entries.map { routeOf(it, operator.publication) },
        groups = listOf(
            GroupSettings(SERVICE_GROUP, MAXIMUM_CONNECTIONS, engine = null),
            GroupSettings(ENGINE_GROUP, MAXIMUM_CONNECTIONS, EngineSettings(ENGINE_SLOTS, ENGINE_MEMORY_TOKENS, 1)),
        ),
        organisations = ORGANISATIONS.map { organisationOf(it, operator.publication) },
    )

private fun routeOf(route: SoakRoute, publication: Int): RouteDescription =
    RouteDescription(
        name = route.name.lowercase(),
        pathPrefix = route.pathPrefix,
        kind = route.kind,
        timeoutMillis = TIMEOUT_MILLIS + TIMEOUT_STEP_MILLIS * (publication % TIMEOUT_STEPS),
        group = groupOf(route),
        maximumAttempts = ATTEMPTS,
    )

private fun organisationOf(organisation: OrganisationId, publication: Int): OrganisationDescription {
    val keys = if (isKeyRevoked(organisation, publication)) emptyList() else listOf(keyOf(organisation))
    return OrganisationDescription(organisation, keys, budgetOf(organisation, publication))
}
