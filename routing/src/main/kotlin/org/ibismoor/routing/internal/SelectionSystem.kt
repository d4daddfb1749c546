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
        var random = tables.random
        var chosen = all.first()
        var draws = 0
        do {
            val turn = tables.group(row.work.route.group).turn + draws
            val input = SelectionInput(all, tables.upstreams, row.work.prefixHashes, settings.ownDomain, turn, random, now)
            chosen = settings.selection.select(input)
            random = random.advance().advance()
            draws++
        } while (draws < LARGEST_DRAWS && isHeldBack(tables, chosen, random, now))
        return dispatch(tables.copy(random = random.advance()), row, chosen, now)
    }

    /** An upstream that came back from an ejection gets a growing part of what would be selected for it. */
    private fun isHeldBack(tables: RoutingTables, id: UpstreamId, random: SeededRandom, now: Timestamp): Boolean =
        random.below(TENTHS) >= tables.upstreams.getValue(id).slowStartTenths(now)

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
        const val LARGEST_DRAWS = 4
    }
}
