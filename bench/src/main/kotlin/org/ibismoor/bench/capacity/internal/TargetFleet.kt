/**
 * Configurations of a given number of budgets in the proportions of the target size: 53,000 budgets, 10,000
 * organisations with one key each, 1,000 upstreams, 12 models, 7 failure domains.
 */
package org.ibismoor.bench.capacity.internal

import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.toPersistentHashMap
import org.ibismoor.configuration.api.ApiKey
import org.ibismoor.configuration.api.Budget
import org.ibismoor.configuration.api.ConfigurationNumber
import org.ibismoor.configuration.api.ConfigurationTables
import org.ibismoor.configuration.api.ControlMember
import org.ibismoor.configuration.api.ModelRoute
import org.ibismoor.configuration.api.Organisation
import org.ibismoor.configuration.api.Upstream
import org.ibismoor.core.api.ApiKeyDigest
import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.GrantId
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.RouteId
import org.ibismoor.core.api.UpstreamGroupId
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.ledger.api.BudgetRow
import org.ibismoor.ledger.api.FleetTables
import org.ibismoor.ledger.api.ShareRow

internal const val TARGET_BUDGETS = 53_000
private const val FEW_BUDGETS = 1_000
private const val SOME_BUDGETS = 5_000
private const val MANY_BUDGETS = 20_000
internal const val GRANTED_TOKENS = 7_000_000L
private const val TARGET_ORGANISATIONS = 10_000
private const val DOMAIN_COUNT = 7
private const val MODEL_COUNT = 12
private const val DEADLINE_MILLIS = 60_000L
private const val ANSWER_TOKENS = 512
private const val DIGEST_CHARACTERS = 64
private const val ADDRESS_COUNT = 250

internal val budgetSizes: List<Int> = listOf(FEW_BUDGETS, SOME_BUDGETS, MANY_BUDGETS, TARGET_BUDGETS)

internal val targetDomains: List<FailureDomainId> = (1..DOMAIN_COUNT).map { FailureDomainId("norte-$it") }
internal val targetReplicas: List<ReplicaId> = targetDomains.map { ReplicaId(it, 1) }

internal fun budgetId(index: Int) = BudgetId("organisation-budget-$index")

internal fun organisationOf(budgets: Int, index: Int): OrganisationId =
    OrganisationId("organisation-${index % organisations(budgets)}")

private fun organisations(budgets: Int): Int = maxOf(1, budgets * TARGET_ORGANISATIONS / TARGET_BUDGETS)

internal fun configuration(budgets: Int, upstreams: Int): ConfigurationTables {
    val organisations = (0 until organisations(budgets)).map { Organisation(OrganisationId("organisation-$it")) }
    val rows = (0 until budgets).map { budget(budgets, it) }
    val keys = organisations.mapIndexed { i, row -> ApiKey(digest(i), row.id, budgetId(i)) }
    return ConfigurationTables(
        number = ConfigurationNumber(1),
        organisations = organisations.associateBy { it.id }.toPersistentHashMap(),
        apiKeys = keys.associateBy { it.digest }.toPersistentHashMap(),
        budgets = rows.associateBy { it.id }.toPersistentHashMap(),
        routes = (1..MODEL_COUNT).map(::route).associateBy { it.id }.toPersistentHashMap(),
        upstreams = (0 until upstreams).map(::upstream).associateBy { it.id }.toPersistentHashMap(),
        controlMembers = targetReplicas.associateWith { ControlMember(it, "http://10.0.0.1:7000") }
            .toPersistentHashMap(),
    )
}

/** Budgets whose grants are issued to the domains in equal parts. */
internal fun fleetOf(configuration: ConfigurationTables): FleetTables {
    val shares = targetReplicas.associateWith { ShareRow(issued = GRANTED_TOKENS / DOMAIN_COUNT) }.toPersistentHashMap()
    val budgets = configuration.budgets.keys.associateWith { BudgetRow(GRANTED_TOKENS, shares) }
    return FleetTables(configuration, budgets.toPersistentHashMap())
}

private fun budget(budgets: Int, index: Int): Budget =
    Budget(budgetId(index), organisationOf(budgets, index), persistentHashMapOf(GrantId("grant-1") to GRANTED_TOKENS))

private fun digest(index: Int) = ApiKeyDigest(index.toString().padStart(DIGEST_CHARACTERS, '0'))

private fun route(index: Int) =
    ModelRoute(RouteId("route-$index"), group(index), DEADLINE_MILLIS, "model-$index", ANSWER_TOKENS, ANSWER_TOKENS)

private fun upstream(index: Int): Upstream {
    val id = UpstreamId("engine-$index")
    val url = "http://10.0.1.${index % ADDRESS_COUNT}:8000"
    return Upstream(id, group(index % MODEL_COUNT + 1), targetDomains[index % DOMAIN_COUNT], url)
}

private fun group(index: Int) = UpstreamGroupId("group-$index")
