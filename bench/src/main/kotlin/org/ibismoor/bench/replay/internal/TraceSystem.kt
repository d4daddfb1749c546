/**
 * Applies the lines of a trace: requests go to the routers in turn, faults change engines and domains.
 */
package org.ibismoor.bench.replay.internal

import kotlinx.collections.immutable.persistentListOf
import org.ibismoor.core.api.ApiKeyDigest
import org.ibismoor.core.api.BodyDigest
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickSystem
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.routing.api.AttemptFailed
import org.ibismoor.routing.api.AttemptFailure
import org.ibismoor.routing.api.CallerDisconnected
import org.ibismoor.routing.api.ModelTarget
import org.ibismoor.routing.api.RequestArrived
import org.ibismoor.routing.api.RoutedRequest
import org.ibismoor.routing.api.StreamId

internal const val MODEL = "model"

// A caller notices that its router is lost when the connection breaks.
private const val LOST_ROUTER_MILLIS = 100L

internal class TraceSystem(private val network: Network) : TickSystem<ReplayTables, TraceLine, Nothing> {
    override fun run(tables: ReplayTables, tick: Tick<TraceLine>): Step<ReplayTables, Nothing> =
        Step(tick.messages.fold(tables) { t, line -> apply(t, line, tick.now.millis) })

    private fun apply(tables: ReplayTables, line: TraceLine, now: Long): ReplayTables =
        when (line) {
            is Arrival -> arrive(tables, line, now)
            is EngineLost -> lose(tables, engine(tables, line.engine), now)
            is EngineReturned -> tables.with(restarted(engine(tables, line.engine)))
            is EngineSlow -> tables.with(engine(tables, line.engine).copy(percent = line.percent))
            is DomainLost -> loseDomain(tables, FailureDomainId(line.domain), now)
            is DomainReturned -> returnDomain(tables, FailureDomainId(line.domain))
        }

    private fun engine(tables: ReplayTables, id: String): EngineRow = tables.engines.getValue(UpstreamId(id))

    private fun arrive(tables: ReplayTables, line: Arrival, now: Long): ReplayTables {
        val stream = tables.requests.size.toLong()
        val added = tables.copy(unfinished = tables.unfinished + 1)
        return added.asked(stream, RequestRow(line, added.routerFor(stream)), now)
    }

    private fun lose(tables: ReplayTables, engine: EngineRow, now: Long): ReplayTables {
        val down = engine.copy(
            isUp = false,
            running = persistentListOf(),
            waiting = persistentListOf(),
            cache = persistentListOf(),
        )
        return (engine.running + engine.waiting).fold(tables.with(down)) { t, sequence ->
            val failure = if (sequence.generated > 0) AttemptFailure.BROKEN_ANSWER else AttemptFailure.NO_ANSWER
            val message = AttemptFailed(StreamId(sequence.stream), engine.id, failure)
            t.sent(now + network.delay(engine.domain, sequence.router), ToRouter(sequence.router, message))
        }
    }

    private fun restarted(engine: EngineRow): EngineRow = engine.copy(isUp = true, starts = engine.starts + 1)

    private fun loseDomain(tables: ReplayTables, domain: FailureDomainId, now: Long): ReplayTables {
        val engines = tables.engines.values.filter { it.domain == domain }.sortedBy { it.declaration.id }
        val lost = engines.fold(tables.copy(lost = tables.lost.add(domain))) { t, engine -> lose(t, engine, now) }
        val moved = lost.requests.filterValues { it.router == domain && it.endedAt == null }.toSortedMap()
        return moved.entries.fold(lost) { t, (stream, row) ->
            t.sent(now + 1, ToRouter(domain, CallerDisconnected(StreamId(stream))))
                .asked(stream, row.copy(router = t.routerFor(stream)), now + LOST_ROUTER_MILLIS)
        }
    }

    private fun returnDomain(tables: ReplayTables, domain: FailureDomainId): ReplayTables =
        tables.engines.values.filter { it.domain == domain }
            .fold(tables.copy(lost = tables.lost.remove(domain))) { t, engine -> t.with(restarted(engine)) }
}

/** Routers that callers can reach take requests in turn. */
internal fun ReplayTables.routerFor(number: Long): FailureDomainId {
    val live = routers.keys.filter { it !in lost }.sorted()
    return live[(number % live.size).toInt()]
}

/** The caller sends its request to the router of [row] at [at]. */
internal fun ReplayTables.asked(stream: Long, row: RequestRow, at: Long): ReplayTables {
    val arrival = row.arrival
    val request = RoutedRequest(
        apiKey = ApiKeyDigest(arrival.organisation),
        target = ModelTarget(MODEL, arrival.promptTokens.toLong(), arrival.answerTokens, listOf(arrival.prefix)),
        body = BodyDigest("$stream"),
        idempotencyKey = null,
        generatedKey = "$stream",
        priority = arrival.priority,
        deadlineMillis = (arrival.at + arrival.deadlineMillis - at).coerceAtLeast(1),
    )
    return copy(requests = requests.put(stream, row))
        .sent(at, ToRouter(row.router, RequestArrived(StreamId(stream), request)))
}
