/**
 * Sends requests to upstreams that have room and queues the others. The queue is looked at on each tick, up to the
 * first few requests that could not be sent, so a tick costs what it sends and one pass over the group's upstreams.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.admission.api.DequeuedEntry
import org.ibismoor.admission.api.QueueEntry
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamGroupId
import org.ibismoor.core.api.foldSteps
import org.ibismoor.core.api.then
import org.ibismoor.forwarding.api.DecisionKind
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.RequestNumber
import org.ibismoor.forwarding.api.RequestRow
import org.ibismoor.forwarding.api.UpstreamRow

/** Limit of queued requests at one router, whose bodies stay in its memory. */
private const val MAXIMUM_QUEUED_REQUESTS = 500

/** Requests that need other upstreams than those with room are passed over up to this number in a tick. */
private const val MAXIMUM_PASSED_OVER = 8

internal class QueuedDispatch(private val settings: ForwardingSettings, private val dispatch: RequestDispatch) {
    /**
     * Sends [request] or queues it. A second attempt beside a silent one is not queued: the silent one may go on at any
     * time, and the traffic thread reports a silence again while it lasts.
     */
    fun dispatchRequest(tables: ForwardingTables, request: RequestRow, now: Timestamp): ForwardingStep {
        val counted = tables.withRateCounted(request, now)
        val isFirst = counted.admission.row(request.group).queue.size == 0
        val candidates = if (isFirst) roomyCandidates(counted, request, now) else emptyList()
        return when {
            candidates.isNotEmpty() -> send(counted, request, candidates, now)
            request.silent != null || !counted.canBeServed(request, settings, now) ->
                dispatch.refuseUnserved(counted, request, now)
            counted.isDraining && !request.mayHaveRun -> refuseForDrain(counted, request, settings, now)
            else -> enqueue(counted, request, now)
        }
    }

    /** Sends queued requests while there is room. */
    fun sendQueued(tables: ForwardingTables, now: Timestamp): ForwardingStep {
        val groups = tables.admission.groups.filterValues { it.queue.size > 0 }.keys.sorted()
        return foldSteps(tables, groups) { table, group ->
            if (table.upstreams.values.none { it.entry.group == group && !it.isLeaving }) {
                refuseGroup(table, group, now)
            } else {
                sendGroup(table, group, now)
            }
        }.then { ForwardingStep(it.withRoomCheck(now, settings)) }
    }

    /** Refuses queued requests that may outlast the drain that begins, since another router can serve them at once. */
    fun startDrain(tables: ForwardingTables, now: Timestamp): ForwardingStep {
        val end = now + settings.times.maximumDrainMillis
        val requests = tables.admission.queued.keys.mapNotNull(tables.requests::get)
            .filter { !it.mayHaveRun && it.dueAt > end }
        return foldSteps(tables, requests.sortedBy { it.number }) { table, request ->
            refuseForDrain(table, request, settings, now)
        }
    }

    private fun enqueue(tables: ForwardingTables, request: RequestRow, now: Timestamp): ForwardingStep {
        val until = tables.latestStart(request, now)
        val entry = tables.queueEntry(request, until, now)
        val row = tables.admission.row(request.group)
        val waitMillis = row.expectedWaitMillis(entry, QUEUE_POLICY, tables.inFlightAt(request.group), now)
        val decision = logDecision(
            DecisionKind.REQUEST_QUEUED,
            request.head.callId,
            "group" to request.group,
            "queued" to row.queue.size,
            "ahead" to QUEUE_POLICY.countAhead(row.queue, entry),
            "expected_wait_ms" to waitMillis,
            "limit_ms" to until - now,
            "weight" to entry.weight,
            "surplus" to entry.isSurplus,
        )
        val isFull = tables.admission.queued.size >= MAXIMUM_QUEUED_REQUESTS
        return when {
            isFull -> refuseWithoutRoom(tables, request, RefusalReason.QUEUE_FULL, settings, now)
            !request.mayHaveRun && now + waitMillis > until ->
                refuseWithoutRoom(tables, request, RefusalReason.QUEUE_DEADLINE, settings, now)
            else -> ForwardingStep(tables.withQueued(request, entry, until, now), listOf(decision))
        }
    }

    private fun sendGroup(tables: ForwardingTables, group: UpstreamGroupId, now: Timestamp): ForwardingStep {
        var step = ForwardingStep(tables)
        val passedOver = mutableListOf<QueueEntry<RequestNumber>>()
        var dequeued = nextEntry(tables, group, now)
        while (dequeued != null && passedOver.size < MAXIMUM_PASSED_OVER) {
            val entry = dequeued.entry
            val table = step.tables.copy(admission = step.tables.admission.withDequeued(group, dequeued))
            val request = table.requests.getValue(entry.id)
            val candidates = roomyCandidates(table, request, now)
            when {
                candidates.isNotEmpty() ->
                    step = ForwardingStep(table, step.effects).then { send(it, request, candidates, now) }
                table.canBeServed(request, settings, now) -> {
                    passedOver += entry
                    step = ForwardingStep(table, step.effects)
                }
                else -> step = ForwardingStep(table, step.effects).then { dispatch.refuseUnserved(it, request, now) }
            }
            dequeued = nextEntry(step.tables, group, now)
        }
        val admission = passedOver.fold(step.tables.admission) { table, entry ->
            table.withRestored(group, entry, QUEUE_POLICY)
        }
        return ForwardingStep(step.tables.copy(admission = admission), step.effects)
    }

    /** The next request of the queue of [group], if some upstream there has room. */
    private fun nextEntry(
        tables: ForwardingTables,
        group: UpstreamGroupId,
        now: Timestamp,
    ): DequeuedEntry<RequestNumber>? {
        val hasRoom = tables.upstreams.values.any {
            it.entry.group == group && !it.isLeaving && it.hasRoom(tables.sharingRouters, now)
        }
        return if (hasRoom) QUEUE_POLICY.dequeue(tables.admission.row(group).queue) else null
    }

    private fun send(
        tables: ForwardingTables,
        request: RequestRow,
        candidates: List<UpstreamRow>,
        now: Timestamp,
    ): ForwardingStep {
        val row = tables.admission.row(request.group)
        val admission = tables.admission.withRow(request.group, row.copy(releases = row.releases.withRelease(now)))
        return dispatch.sendAttempt(tables.copy(admission = admission), request, candidates, now)
    }

    private fun roomyCandidates(tables: ForwardingTables, request: RequestRow, now: Timestamp): List<UpstreamRow> =
        dispatch.candidates(tables, request, now).filter { it.hasRoom(tables.sharingRouters, now) }

    private fun refuseGroup(tables: ForwardingTables, group: UpstreamGroupId, now: Timestamp): ForwardingStep {
        val requests = tables.admission.queued.filterValues { it.group == group }.keys.mapNotNull(tables.requests::get)
        return foldSteps(tables, requests.sortedBy { it.number }) { table, request ->
            dispatch.refuseUnserved(table, request, now)
        }
    }
}
