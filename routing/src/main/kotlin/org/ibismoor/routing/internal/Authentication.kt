/**
 * Checks a request against the configuration: its API key, the rate limit of its organisation, its route and the
 * bounds of its cost.
 */
package org.ibismoor.routing.internal

import org.ibismoor.configuration.api.ApiKey
import org.ibismoor.configuration.api.ModelRoute
import org.ibismoor.configuration.api.Organisation
import org.ibismoor.configuration.api.Priority
import org.ibismoor.configuration.api.Route
import org.ibismoor.configuration.api.ServiceRoute
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.RequestKey
import org.ibismoor.core.api.Timestamp
import org.ibismoor.routing.api.ModelTarget
import org.ibismoor.routing.api.RateLimitRow
import org.ibismoor.routing.api.RoutedRequest
import org.ibismoor.routing.api.RoutingTables
import org.ibismoor.routing.api.ServiceTarget
import org.ibismoor.routing.api.Work

internal sealed interface Admission

internal data class Accepted(val tables: RoutingTables, val key: RequestKey, val work: Work) : Admission

internal data class Rejected(
    val reason: RefusalReason,
    val retryAfterMillis: Long? = null,
    val key: RequestKey? = null,
    val tables: RoutingTables? = null,
) : Admission

/** The route of a request, the bounds of its cost in budget tokens, and whether it may run twice. */
private data class RequestTerms(
    val route: Route,
    val isIdempotent: Boolean,
    val promptBound: Long,
    val answerTokenBound: Int,
    val prefixHashes: List<Long>,
)

internal class Authentication {
    fun check(tables: RoutingTables, request: RoutedRequest, now: Timestamp): Admission {
        val apiKey = tables.configuration.apiKeys[request.apiKey]
        val organisation = apiKey?.let { tables.configuration.organisations[it.organisation] }
        return if (apiKey == null || organisation == null) {
            Rejected(RefusalReason.UNAUTHENTICATED)
        } else {
            checkRateLimit(tables, request, apiKey, organisation, now)
        }
    }

    private fun checkRateLimit(
        tables: RoutingTables,
        request: RoutedRequest,
        apiKey: ApiKey,
        organisation: Organisation,
        now: Timestamp,
    ): Admission {
        val key = RequestKey(organisation.id, request.idempotencyKey ?: request.generatedKey)
        val rate = organisation.requestsPerSecond?.toLong()
        val rateLimit = rate?.let { consumeRequest(tables.rateLimits[organisation.id], it, now) }
        return when {
            rate == null -> resolveRoute(tables, request, apiKey, organisation, key, now)
            rateLimit == null -> Rejected(RefusalReason.RATE_LIMITED, ONE_REQUEST / rate.coerceAtLeast(1), key)
            else -> {
                val withRequestCounted = tables.copy(rateLimits = tables.rateLimits.put(organisation.id, rateLimit))
                resolveRoute(withRequestCounted, request, apiKey, organisation, key, now)
            }
        }
    }

    /** Token bucket that holds the requests of one second. Null if the bucket does not cover one more request. */
    private fun consumeRequest(current: RateLimitRow?, rate: Long, now: Timestamp): RateLimitRow? {
        val full = rate * ONE_REQUEST
        val remaining = current?.let { (it.remaining + (now - it.updatedAt) * rate).coerceAtMost(full) } ?: full
        return if (remaining >= ONE_REQUEST) RateLimitRow(remaining - ONE_REQUEST, now) else null
    }

    @Suppress("LongParameterList")
    private fun resolveRoute(
        tables: RoutingTables,
        request: RoutedRequest,
        apiKey: ApiKey,
        organisation: Organisation,
        key: RequestKey,
        now: Timestamp,
    ): Admission =
        when (val terms = termsOf(tables, request)) {
            is TermsRefused -> Rejected(terms.reason, key = key, tables = tables)
            is TermsFound -> Accepted(tables, key, createWork(terms.terms, request, apiKey, organisation, now))
        }

    private fun createWork(
        terms: RequestTerms,
        request: RoutedRequest,
        apiKey: ApiKey,
        organisation: Organisation,
        now: Timestamp,
    ): Work =
        Work(
            route = terms.route,
            budget = apiKey.budget,
            body = request.body,
            priority = effectivePriority(request.priority, apiKey.priority),
            weight = organisation.weight.coerceAtLeast(1),
            isIdempotent = terms.isIdempotent,
            promptBound = terms.promptBound,
            answerTokenBound = terms.answerTokenBound,
            costBound = terms.promptBound + terms.answerTokenBound,
            prefixHashes = terms.prefixHashes,
            arrivedAt = now,
            deadline = now + minOf(terms.route.deadlineMillis, request.deadlineMillis ?: Long.MAX_VALUE),
        )

    private fun effectivePriority(requested: Priority?, highest: Priority): Priority =
        maxOf(requested ?: highest, highest)

    private sealed interface TermsResult

    private data class TermsFound(val terms: RequestTerms) : TermsResult

    private data class TermsRefused(val reason: RefusalReason) : TermsResult

    private fun termsOf(tables: RoutingTables, request: RoutedRequest): TermsResult =
        when (val target = request.target) {
            is ModelTarget -> modelTerms(tables, target)
            is ServiceTarget -> serviceTerms(tables, target)
        }

    private fun modelTerms(tables: RoutingTables, target: ModelTarget): TermsResult {
        val route = tables.routesByModel[target.model]?.let { tables.configuration.routes[it] as? ModelRoute }
        val bound = target.answerTokenBound ?: route?.defaultAnswerTokens ?: 0
        return when {
            route == null -> TermsRefused(RefusalReason.UNKNOWN_MODEL)
            bound > route.maximumAnswerTokens -> TermsRefused(RefusalReason.REQUEST_TOO_LARGE)
            else -> TermsFound(RequestTerms(route, true, target.promptTokenBound, bound, target.prefixHashes))
        }
    }

    private fun serviceTerms(tables: RoutingTables, target: ServiceTarget): TermsResult {
        val route = tables.configuration.routes[target.route] as? ServiceRoute
        val rule = route?.rules?.firstOrNull {
            it.method.equals(target.method, ignoreCase = true) && target.path.startsWith(it.pathPrefix)
        }
        return if (route == null || rule == null) {
            TermsRefused(RefusalReason.UNKNOWN_ROUTE)
        } else {
            TermsFound(RequestTerms(route, rule.isIdempotent, rule.price, 0, emptyList()))
        }
    }

    private companion object {
        // Thousandths of a request, so that a rate per second is also the amount per millisecond.
        const val ONE_REQUEST = 1_000L
    }
}
