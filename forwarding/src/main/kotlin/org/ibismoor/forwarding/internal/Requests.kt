/**
 * Changes to the request table that several systems share.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.forwarding.api.AwaitingAnswer
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.RequestPhase
import org.ibismoor.forwarding.api.RequestRow
import org.ibismoor.forwarding.api.UpstreamRow

/** Adds [request] to those that wait, and schedules a check of its deadline. */
internal fun ForwardingTables.withWaiting(request: RequestRow): ForwardingTables =
    copy(
        requests = requests.put(request.number, request),
        waiting = waiting.put(request.number, Unit),
        due = due.plus(request.dueAt, request.number),
    )

/** Removes [request] and settles its [cost] in tokens. */
internal fun ForwardingTables.withoutRequest(request: RequestRow, cost: Long): ForwardingTables =
    withoutInFlight(request).withSettledCost(request, cost).copy(
        requests = requests.remove(request.number),
        waiting = waiting.remove(request.number),
        streams = streams.withoutAwaiting(request.number),
        admission = admission.withoutQueued(request.number, QUEUE_POLICY),
    )

/** Requests that no upstream has, those in a queue among them. */
internal fun ForwardingTables.unsentRequests(): List<RequestRow> =
    (waiting.keys + admission.queued.keys).mapNotNull(requests::get)

/** Attempt number [attempt] of the request if it is in flight, silent or not. */
internal fun RequestRow.inFlightAttempt(attempt: Int): AwaitingAnswer? =
    listOfNotNull(phase as? AwaitingAnswer, silent?.phase).firstOrNull { it.attempt == attempt }

/** Removes [request] from the counts of the upstreams that have it. */
internal fun ForwardingTables.withoutInFlight(request: RequestRow): ForwardingTables =
    withoutInFlight(request.phase).withoutInFlight(request.silent?.phase)

internal fun ForwardingTables.withoutInFlight(phase: RequestPhase?): ForwardingTables {
    if (phase !is AwaitingAnswer) return this
    return withUpdatedUpstream(phase) { row ->
        row.copy(
            inFlight = (row.inFlight - 1).coerceAtLeast(0),
            inFlightBytes = (row.inFlightBytes - phase.bodyBytes).coerceAtLeast(0),
            pendingPromptTokens = (row.pendingPromptTokens - phase.pendingPromptTokens).coerceAtLeast(0),
        )
    }
}

internal inline fun ForwardingTables.withUpdatedUpstream(
    phase: AwaitingAnswer,
    change: (UpstreamRow) -> UpstreamRow,
): ForwardingTables {
    val row = upstreams[phase.upstream] ?: return this
    return copy(upstreams = upstreams.put(phase.upstream, change(row)))
}

/** Cost of [request] in tokens after [events] events. The prompt counts once an upstream may have processed it. */
internal fun ForwardingTables.costOf(request: RequestRow, events: Int): Long {
    val prompt = request.head.prompt ?: return 0
    val perEvent = configuration?.groups?.get(request.group)?.engine?.tokensPerEvent ?: 1
    val output = (events.toLong() * perEvent).coerceAtMost(prompt.outputTokens)
    return if (request.mayHaveRun || events > 0) prompt.inputTokens + output else 0
}
