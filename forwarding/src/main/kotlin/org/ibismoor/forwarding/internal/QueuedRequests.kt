/**
 * Changes to the queues of requests that wait for room at an upstream.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.admission.api.QueueEntry
import org.ibismoor.admission.api.QueuePolicy
import org.ibismoor.admission.api.drawRetryAfterMillis
import org.ibismoor.admission.api.fairQueue
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamGroupId
import org.ibismoor.forwarding.api.AwaitingRoom
import org.ibismoor.forwarding.api.Fact
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.LogDecision
import org.ibismoor.forwarding.api.RequestNumber
import org.ibismoor.forwarding.api.RequestRow

/** With the weight of an organisation of the mean rate, a turn adds the cost of a typical request. */
private const val QUANTUM_TOKENS = 256L

internal val QUEUE_POLICY: QueuePolicy = fairQueue(QUANTUM_TOKENS)

/** Cost of a request without a prompt, in tokens: about one turn of the queue. */
private const val PLAIN_COST_TOKENS = 2_048L

/** The objective moves a request forward by this part of its distance to the latest start. */
private const val OBJECTIVE_DIVISOR = 4

/** Requests without an organisation take turns as one. */
private val NO_ORGANISATION = OrganisationId("")

internal val RequestRow.queueCost: Long get() = head.prompt?.maximumCost?.coerceAtLeast(1) ?: PLAIN_COST_TOKENS

private val RequestRow.payer: OrganisationId get() = organisation ?: NO_ORGANISATION

/** Counts the first try of [request] towards the usual rate of its organisation. */
internal fun ForwardingTables.withRateCounted(request: RequestRow, now: Timestamp): ForwardingTables =
    if (request.attempts > 0) {
        this
    } else {
        copy(admission = admission.copy(rates = admission.rates.withArrival(request.payer, now)))
    }

/** The latest time at which [request] can be sent and still be answered in time. */
internal fun ForwardingTables.latestStart(request: RequestRow, now: Timestamp): Timestamp {
    val row = admission.row(request.group)
    val workMillis = row.expectedWorkMillis(request.route.id, request.queueCost, request.dueAt - now)
    return request.dueAt + -workMillis
}

/**
 * The entry of [request]. Those of one organisation leave by their latest start and, to a part, by their objective, so
 * that a near deadline comes before a far one and, with equal deadlines, a near objective first. An answer that has
 * begun comes before all of them and is never surplus: its caller has a part of it already.
 */
internal fun ForwardingTables.queueEntry(
    request: RequestRow,
    latestStart: Timestamp,
    now: Timestamp,
): QueueEntry<RequestNumber> {
    val objectiveAt = request.arrivedAt + request.route.objectiveMillis
    val order = latestStart.millis - (latestStart - objectiveAt) / OBJECTIVE_DIVISOR
    val isRepeated = request.triedUpstreams.isNotEmpty() || admission.returns.isEarly(request.head.digest, now)
    return QueueEntry(
        id = request.number,
        organisation = request.payer,
        priority = request.priority,
        weight = admission.rates.weightOf(request.payer, now),
        cost = request.queueCost,
        order = if (request.isAnswerStarted) request.arrivedAt.millis else order,
        isSurplus = !request.isAnswerStarted && (isRepeated || admission.rates.isAboveUsual(request.payer)),
    )
}

internal fun ForwardingTables.withQueued(
    request: RequestRow,
    entry: QueueEntry<RequestNumber>,
    until: Timestamp,
    now: Timestamp,
): ForwardingTables =
    copy(
        requests = requests.put(request.number, request.copy(phase = AwaitingRoom(now, until))),
        waiting = waiting.remove(request.number),
        due = due.plus(until, request.number),
        admission = admission.withQueued(request.group, entry, QUEUE_POLICY),
    )

/** Requests of this router at the upstreams of [group]. */
internal fun ForwardingTables.inFlightAt(group: UpstreamGroupId): Int =
    upstreams.values.sumOf { if (it.entry.group == group) it.inFlight else 0 }

/** Refuses [request], which has no room in time. Callers refused together are told different times to return. */
internal fun refuseWithoutRoom(
    tables: ForwardingTables,
    request: RequestRow,
    reason: RefusalReason,
    settings: ForwardingSettings,
    now: Timestamp,
): ForwardingStep {
    val row = tables.admission.row(request.group)
    val emptyingMillis = row.emptyingMillis(tables.inFlightAt(request.group), now)
    val minimumMillis = settings.times.retryAfterMillis
    val retryAfter = drawRetryAfterMillis(minimumMillis, emptyingMillis, request.dueAt - now, tables.random)
    val returns = tables.admission.returns.withRefusal(request.head.digest, now + retryAfter)
    val next = tables.copy(random = tables.random.advance(), admission = tables.admission.copy(returns = returns))
    val facts = listOf(
        Fact("group", request.group),
        Fact("queued", row.queue.size),
        Fact("emptying_ms", emptyingMillis),
        Fact("retry_after_ms", retryAfter),
    )
    val step = refuseRequest(next, request, reason, retryAfter, now)
    return ForwardingStep(step.tables, step.effects.map { if (it is LogDecision) it.withFacts(facts) else it })
}

/** Refuses [request], which may outlast the drain or finds no room in it; another router can serve it at once. */
internal fun refuseForDrain(
    tables: ForwardingTables,
    request: RequestRow,
    settings: ForwardingSettings,
    now: Timestamp,
): ForwardingStep =
    refuseRequest(tables, request, RefusalReason.DRAINING, settings.times.otherRouterRetryAfterMillis, now)

/** Sets when the queues are looked at again without a message. */
internal fun ForwardingTables.withRoomCheck(now: Timestamp, settings: ForwardingSettings): ForwardingTables {
    val next = now + settings.times.roomCheckIntervalMillis
    return copy(roomCheckDueAt = next.takeIf { admission.queued.isNotEmpty() })
}
