/**
 * Selects an upstream for each reserved request and dispatches it.
 */
package org.ibismoor.routing.internal

import kotlinx.collections.immutable.persistentListOf
import org.ibismoor.core.api.SeededRandom
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.routing.api.Dispatch
import org.ibismoor.routing.api.GroupRow
import org.ibismoor.routing.api.RoutingMessage
import org.ibismoor.routing.api.RoutingSettings
import org.ibismoor.routing.api.RoutingTables
import org.ibismoor.routing.api.SelectionInput
import org.ibismoor.routing.api.StreamPhase
import org.ibismoor.routing.api.StreamRow
import org.ibismoor.routing.api.UpstreamRow

internal class SelectionSystem(private val settings: RoutingSettings) : RoutingSystem {
    private val limits = settings.limits

    override fun run(tables: RoutingTables, tick: Tick<RoutingMessage>): RoutingStep =
        tables.copy(toSelect = persistentListOf()).forEach(tables.toSelect) { t, id ->
            t.streams[id]?.takeIf { it.phase == StreamPhase.WAITING }?.let { select(t, it, tick.now) } ?: t.step()
        }

    private fun select(tables: RoutingTables, row: StreamRow, now: Timestamp): RoutingStep {
        val group = tables.group(row.work.route.group)
        val candidates = candidates(group, row)
        val isReserved = row.lease?.isHeld == true
        return if (candidates.isEmpty() || !isReserved) {
            tables.put(row.copy(retryAt = now + WAIT_MILLIS), limits).step()
        } else {
            choose(tables, row, candidates, now)
        }
    }

    /**
     * A retry goes to an upstream that has not failed the request, if there is one, and never to one that the request
     * could not reach.
     */
    private fun candidates(group: GroupRow, row: StreamRow): List<UpstreamId> {
        if (row.tried.isEmpty()) return group.usable
        val reachable = group.usable.filter { it !in row.unreachable }
        return reachable.filter { it !in row.tried }.ifEmpty { reachable }
    }

    private fun choose(tables: RoutingTables, row: StreamRow, all: List<UpstreamId>, now: Timestamp): RoutingStep {
        val turn = tables.group(row.work.route.group).turn
        var left = all
        var random = tables.random
        while (true) {
            val prefixes = row.work.prefixHashes
            val input = SelectionInput(left, tables.upstreams, prefixes, settings.ownDomain, turn, random, now)
            val chosen = settings.selection.select(input)
            random = random.advance().advance()
            val isTaken = left.size == 1 || !isHeldBack(tables.upstreams.getValue(chosen), random, now)
            if (isTaken) return dispatch(tables.copy(random = random.advance()), row, chosen, now)
            left = left - chosen
        }
    }

    /**
     * An upstream that came back from an ejection gets a growing part of what would be selected for it. After a failed
     * connect it gets one request at a time until it has answered, since each may wait for the connect to time out.
     */
    private fun isHeldBack(row: UpstreamRow, random: SeededRandom, now: Timestamp): Boolean =
        (row.failedConnects > 0 && row.inFlight > 0) || random.below(TENTHS) >= row.slowStartTenths(now)

    private fun dispatch(tables: RoutingTables, row: StreamRow, id: UpstreamId, now: Timestamp): RoutingStep {
        val group = tables.group(row.work.route.group)
        val isFirst = row.tried.isEmpty()
        val retries = if (isFirst) settings.retry.afterRequest(group.retries, now) else group.retries
        val running = row.copy(phase = StreamPhase.RUNNING, upstream = id, retryAt = null, isStarted = false)
        return tables.with(row.work.route.group, group.copy(turn = group.turn + 1, retries = retries))
            .put(running, limits)
            .step(
                Dispatch(
                    stream = row.id,
                    key = row.key,
                    route = row.work.route,
                    upstream = tables.upstreams.getValue(id).upstream,
                    priority = row.work.priority,
                    costLimit = row.work.costBound,
                    answerTokenBound = row.work.answerTokenBound,
                    remainingMillis = row.work.deadline - now,
                    isIdempotent = row.work.isIdempotent,
                ),
            )
    }

    private companion object {
        const val WAIT_MILLIS = 50L
        const val TENTHS = 10L
    }
}
