/**
 * Selects an upstream for each reserved request and dispatches it.
 */
package org.ibismoor.routing.internal

import kotlinx.collections.immutable.persistentListOf
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
        tables.copy(streamsToSelect = persistentListOf()).foldSteps(tables.streamsToSelect) { t, id ->
            t.streams[id]?.takeIf { it.phase == StreamPhase.WAITING }?.let { selectUpstream(t, it, tick.now) }
                ?: t.step()
        }

    private fun selectUpstream(tables: RoutingTables, row: StreamRow, now: Timestamp): RoutingStep {
        val group = tables.group(row.work.route.group)
        val candidates = candidates(group, row)
        val isReserved = row.reservation?.isHeld == true
        return if (candidates.isEmpty() || !isReserved) {
            tables.putStream(row.copy(retryAt = now + SELECTION_RETRY_MILLIS), limits).step()
        } else {
            dispatchToSelected(tables, row, candidates, now)
        }
    }

    /**
     * A retry goes to an upstream that has not failed this request, if there is one, and never to one that could not be
     * reached for it.
     */
    private fun candidates(group: GroupRow, row: StreamRow): List<UpstreamId> {
        if (row.failedUpstreams.isEmpty()) return group.usable
        val reachable = group.usable.filter { it !in row.unreachableUpstreams }
        return reachable.filter { it !in row.failedUpstreams }.ifEmpty { reachable }
    }

    private fun dispatchToSelected(
        tables: RoutingTables,
        row: StreamRow,
        candidates: List<UpstreamId>,
        now: Timestamp,
    ): RoutingStep {
        val dispatchCount = tables.group(row.work.route.group).dispatchCount
        var remaining = candidates
        var random = tables.random
        while (true) {
            val prefixes = row.work.prefixHashes
            val domain = settings.ownDomain
            val input = SelectionInput(remaining, tables.upstreams, prefixes, domain, dispatchCount, random, now)
            val selected = settings.selection.select(input)
            random = random.advance().advance()
            val isAccepted = remaining.size == 1 || !isThrottled(tables.upstreams.getValue(selected), now)
            if (isAccepted) return dispatch(tables.copy(random = random.advance()), row, selected, now)
            remaining = remaining - selected
        }
    }

    /**
     * After an ejection or a restart, the pace limits the requests in flight at an upstream. After a
     * connection failure it gets one request at a time until it answers, since each may wait for a connect time-out.
     */
    private fun isThrottled(row: UpstreamRow, now: Timestamp): Boolean =
        (row.failedConnects > 0 && row.inFlight > 0) || !row.pace.allowsRamp(row.inFlight, now)

    private fun dispatch(tables: RoutingTables, row: StreamRow, id: UpstreamId, now: Timestamp): RoutingStep {
        val group = tables.group(row.work.route.group)
        val isFirst = row.failedUpstreams.isEmpty()
        val retryBudget = if (isFirst) settings.retry.creditRequest(group.retryBudget, now) else group.retryBudget
        val running = row.copy(phase = StreamPhase.RUNNING, upstream = id, retryAt = null, isAnswerStarted = false)
        val dispatched = group.copy(dispatchCount = group.dispatchCount + 1, retryBudget = retryBudget)
        return tables.withGroup(row.work.route.group, dispatched)
            .putStream(running, limits)
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
        const val SELECTION_RETRY_MILLIS = 50L
    }
}
