/**
 * Replays a trace in virtual time with one policy and scores the result.
 */
package org.ibismoor.bench.replay.internal

import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.toPersistentHashMap
import org.HdrHistogram.Histogram
import org.ibismoor.configuration.api.ApiKey
import org.ibismoor.configuration.api.ConfigurationNumber
import org.ibismoor.configuration.api.ConfigurationTables
import org.ibismoor.configuration.api.ModelRoute
import org.ibismoor.configuration.api.Organisation
import org.ibismoor.configuration.api.Priority
import org.ibismoor.configuration.api.Route
import org.ibismoor.configuration.api.Upstream
import org.ibismoor.core.api.ApiKeyDigest
import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.RouteId
import org.ibismoor.core.api.SessionId
import org.ibismoor.core.api.SystemSchedule
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamGroupId
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.core.api.WallTime
import org.ibismoor.routing.api.ConfigurationChanged
import org.ibismoor.routing.api.createRouting
import org.ibismoor.routing.api.initialRoutingTables

private const val MAX_ANSWER_TOKENS = 4_096
private const val MAX_DEADLINE_MILLIS = 60_000L
private const val HISTOGRAM_DIGITS = 3

internal class Replay(private val trace: Trace) {
    private val domains = trace.header.engines.map { FailureDomainId(it.domain) }.distinct().sorted()
    private val network = Network(trace.header.oneWayMillis)

    fun run(policy: Policy): Score {
        val settings = domains.associateWith { policy.settings(it, domains) }
        val machines = settings.mapValues { createRouting(it.value) }
        val schedule = SystemSchedule<ReplayTables, TraceLine, Nothing>(
            listOf(
                TraceSystem(network),
                EngineSystem(network),
                RouterSystem(network, machines, trace.header.callerRetries),
            ),
        )
        val routers = settings.entries.mapIndexed { i, (domain, own) ->
            val session = SessionId("$domain")
            domain to initialRoutingTables(own, session, trace.header.seed + i, Timestamp(0))
        }
        val engines = trace.header.engines.map { EngineRow(it) }.associateBy { it.id }.toPersistentHashMap()
        val initial = ReplayTables(engines, routers.toMap().toPersistentHashMap())
        val change = ConfigurationChanged(configuration())
        val configured = domains.fold(initial) { t, domain -> t.schedule(0, RouterMessageDue(domain, change)) }
        return score(runTicks(schedule, configured))
    }

    private fun runTicks(
        schedule: SystemSchedule<ReplayTables, TraceLine, Nothing>,
        initial: ReplayTables,
    ): ReplayTables {
        val lines = trace.lines.groupBy { it.at }
        var tables = initial
        var now = 0L
        while (now <= trace.header.durationMillis || tables.unfinished > 0) {
            tables = schedule.run(tables, Tick(Timestamp(now), WallTime(0), lines[now].orEmpty())).tables
            now++
        }
        return tables
    }

    private fun configuration(): ConfigurationTables {
        val group = UpstreamGroupId(MODEL)
        val route = ModelRoute(RouteId(MODEL), group, MAX_DEADLINE_MILLIS, MODEL, MAX_ANSWER_TOKENS, MAX_ANSWER_TOKENS)
        val organisations = trace.lines.filterIsInstance<Arrival>().map { OrganisationId(it.organisation) }.distinct()
        val keys = organisations.map { ApiKey(ApiKeyDigest(it.text), it, BudgetId(it.text), Priority.LIVE) }
        val upstreams = trace.header.engines.map {
            Upstream(UpstreamId(it.id), group, FailureDomainId(it.domain), "http://127.0.0.1")
        }
        return ConfigurationTables(
            number = ConfigurationNumber(1),
            organisations = organisations.associateWith { Organisation(it) }.toPersistentHashMap(),
            apiKeys = keys.associateBy { it.digest }.toPersistentHashMap(),
            routes = persistentHashMapOf<RouteId, Route>(route.id to route),
            upstreams = upstreams.associateBy { it.id }.toPersistentHashMap(),
        )
    }

    private fun score(tables: ReplayTables): Score {
        val rows = tables.requests.values
        val firstTokens = Histogram(HISTOGRAM_DIGITS)
        val gaps = Histogram(HISTOGRAM_DIGITS)
        rows.filter { it.isAnswered }.forEach { row ->
            row.firstTokenAt?.let { firstTokens.recordValue(it - row.arrival.at) }
            row.gaps.forEach(gaps::recordValue)
        }
        val byOrganisation = rows.groupBy { it.arrival.organisation }.values.map(::goodput)
        return Score(
            requests = rows.size,
            goodput = goodput(rows),
            firstToken = Percentiles.of(firstTokens),
            betweenTokens = Percentiles.of(gaps),
            refused = rows.count { !it.isAnswered },
            falseRefusals = rows.count { it.isFalseRefusal },
            amplification = tables.attempts.toDouble() / rows.size.coerceAtLeast(1),
            cacheHits = tables.cacheHits.toDouble() / tables.admitted.coerceAtLeast(1),
            fairness = byOrganisation.minOrNull() ?: 1.0,
        )
    }

    private fun goodput(rows: Collection<RequestRow>): Double {
        val timely = rows.count {
            it.isAnswered && checkNotNull(it.endedAt) <= it.arrival.at + it.arrival.deadlineMillis
        }
        return timely.toDouble() / rows.size.coerceAtLeast(1)
    }
}
