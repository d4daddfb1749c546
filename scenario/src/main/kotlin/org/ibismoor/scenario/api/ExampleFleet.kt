/**
 * The configuration of a small fleet, and calls to it, for scenarios. Amounts are in budget tokens.
 */
package org.ibismoor.scenario.api

import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import kotlinx.collections.immutable.toPersistentHashMap
import org.ibismoor.configuration.api.ApiKey
import org.ibismoor.configuration.api.Budget
import org.ibismoor.configuration.api.ConfigurationTables
import org.ibismoor.configuration.api.FleetSettings
import org.ibismoor.configuration.api.ModelRoute
import org.ibismoor.configuration.api.Organisation
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

private val assistants = UpstreamGroupId("assistants")
private val bookingDesk = UpstreamGroupId("booking-desk")
private const val BOOKING_PRICE = 50L
private const val TIMEOUT_MILLIS = 10_000L
private const val DEFAULT_ANSWER_TOKENS = 256
private const val MAX_ANSWER_TOKENS = 1_024
private const val PROMPT_TOKENS = 40L
private const val ANSWER_TOKENS = 60L

/** Two assistants and one booking service in each of three failure domains. [budgets] maps names to granted tokens. */
fun exampleConfiguration(vararg budgets: Pair<String, Long>, heldBackPerMille: Int = 100): ConfigurationTables {
    val rows = budgets.map { (name, tokens) -> budget(name, tokens) }
    return ConfigurationTables(
        settings = FleetSettings(heldBackPerMille),
        organisations = rows.map { Organisation(it.organisation) }.associateBy { it.id }.toPersistentHashMap(),
        apiKeys = rows.map { ApiKey(ApiKeyDigest(it.id.text), it.organisation, it.id) }
            .associateBy { it.digest }.toPersistentHashMap(),
        budgets = rows.associateBy { it.id }.toPersistentHashMap(),
        routes = listOf(
            ModelRoute(
                RouteId("chat"),
                assistants,
                TIMEOUT_MILLIS,
                "assistant",
                DEFAULT_ANSWER_TOKENS,
                MAX_ANSWER_TOKENS,
            ),
            ServiceRoute(
                RouteId("bookings"),
                bookingDesk,
                TIMEOUT_MILLIS,
                persistentListOf(ServiceRule("POST", "/", isIdempotent = false, price = BOOKING_PRICE)),
            ),
        ).associateBy { it.id }.toPersistentHashMap(),
        upstreams = listOf("norte-1", "norte-2", "norte-3").flatMap(::upstreams)
            .associateBy { it.id }.toPersistentHashMap(),
    )
}

private fun budget(name: String, tokens: Long) =
    Budget(BudgetId(name), OrganisationId("org-$name"), persistentHashMapOf(GrantId("first") to tokens))

private fun upstreams(domain: String): List<Upstream> =
    listOf("a" to assistants, "b" to assistants, "desk" to bookingDesk).map { (name, group) ->
        Upstream(UpstreamId("$domain-$name"), group, FailureDomainId(domain), "http://$domain-$name")
    }

/** A chat completion of 40 prompt and 60 answer tokens. */
fun chat(budget: String, key: String) =
    ChatCall(budget, key, "assistant", PROMPT_TOKENS, ANSWER_TOKENS, ANSWER_TOKENS.toInt())

/** An escort confirmation, which must run at most once. */
fun booking(budget: String, key: String) =
    ServiceCall(budget, key, "bookings", "POST", "/confirm", isIdempotent = false)
