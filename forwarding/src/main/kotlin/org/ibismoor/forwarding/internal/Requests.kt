/**
 * Changes of the request table that several systems make.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.RequestRow
import org.ibismoor.forwarding.api.Sent
import org.ibismoor.forwarding.api.UpstreamRow

/** Puts [request] among those that wait, and has it looked at when it is due. */
internal fun ForwardingTables.waitingFor(request: RequestRow): ForwardingTables =
    copy(
        requests = requests.put(request.number, request),
        waiting = waiting.put(request.number, Unit),
        due = due.plus(request.dueAt, request.number),
    )

/** Ends [request], which has cost [cost] tokens. */
internal fun ForwardingTables.ended(request: RequestRow, cost: Long): ForwardingTables =
    leavingUpstream(request).settling(request, cost).copy(
        requests = requests.remove(request.number),
        waiting = waiting.remove(request.number),
    )

/** Takes [request] out of the counts of the upstream that has it. */
internal fun ForwardingTables.leavingUpstream(request: RequestRow): ForwardingTables {
    val sent = request.phase as? Sent ?: return this
    return updatingUpstream(sent) { row ->
        row.copy(
            inFlight = (row.inFlight - 1).coerceAtLeast(0),
            pendingPromptTokens = (row.pendingPromptTokens - sent.pendingPromptTokens).coerceAtLeast(0),
        )
    }
}

internal inline fun ForwardingTables.updatingUpstream(
    sent: Sent,
    change: (UpstreamRow) -> UpstreamRow,
): ForwardingTables {
    val row = upstreams[sent.upstream] ?: return this
    return copy(upstreams = upstreams.put(sent.upstream, change(row)))
}

/** Tokens that [request] has cost after [events] events. Input counts once an upstream may have read it. */
internal fun ForwardingTables.costOf(request: RequestRow, events: Int): Long {
    val prompt = request.head.prompt ?: return 0
    val perEvent = configuration?.groups?.get(request.group)?.engine?.tokensPerEvent ?: 1
    val output = (events.toLong() * perEvent).coerceAtMost(prompt.outputTokens)
    return if (request.mayHaveRun || events > 0) prompt.inputTokens + output else 0
}
