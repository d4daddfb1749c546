/**
 * Sends waiting requests to upstreams in the order of priority and arrival, or through the queue of their group.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.coordination.api.UpstreamEntry
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.foldSteps
import org.ibismoor.core.api.then
import org.ibismoor.forwarding.api.AttemptTerms
import org.ibismoor.forwarding.api.AwaitingAnswer
import org.ibismoor.forwarding.api.AwaitingUpstream
import org.ibismoor.forwarding.api.DecisionKind
import org.ibismoor.forwarding.api.DrainStarted
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.RequestRow
import org.ibismoor.forwarding.api.SendAttempt
import org.ibismoor.forwarding.api.UpstreamRow
import org.ibismoor.forwarding.api.UpstreamSelection
import org.ibismoor.forwarding.api.WorkKind

/** Limit of prompt parts that are recorded for each upstream; beyond it all of them are dropped. */
private const val MAXIMUM_SENT_PARTS = 4_096

private const val DEFAULT_MAXIMUM_CONNECTIONS = 100

internal class SelectionSystem(
    private val settings: ForwardingSettings,
    private val selection: UpstreamSelection,
) : ForwardingSystem, RequestDispatch {
    private val queueing = QueuedDispatch(settings, this)
    private val pacing = UpstreamPacing(settings)

    override fun run(tables: ForwardingTables, tick: Tick<ForwardingMessage>): ForwardingStep {
        val isIdle = tables.waiting.isEmpty() && tables.admission.queued.isEmpty()
        if (isIdle && tables.roomCheckDueAt == null) return ForwardingStep(tables)
        val dispatchableRequests = tables.waiting.keys
            .mapNotNull(tables.requests::get)
            .filter { it.phase is AwaitingUpstream }
        val ordered = dispatchableRequests.sortedWith(compareBy({ it.priority }, { it.number }))
        val isDrainStarting = tick.messages.any { it is DrainStarted }
        val returns = tables.admission.returns.withoutDue(tick.now)
        val current = tables.copy(admission = tables.admission.copy(returns = returns))
        return ForwardingStep(current)
            .then { if (isDrainStarting) queueing.startDrain(it, tick.now) else ForwardingStep(it) }
            .then { foldSteps(it, ordered) { table, request -> dispatchRequest(table, request, tick.now) } }
            .then { queueing.sendQueued(it, tick.now) }
    }

    private fun dispatchRequest(tables: ForwardingTables, request: RequestRow, now: Timestamp): ForwardingStep {
        if (tables.isQueueing(request.group, settings)) return queueing.dispatchRequest(tables, request, now)
        val candidates = candidates(tables, request, now)
        return when {
            candidates.isNotEmpty() -> sendAttempt(tables, request, candidates, now)
            else -> refuseUnserved(tables, request, now)
        }
    }

    override fun refuseUnserved(tables: ForwardingTables, request: RequestRow, now: Timestamp): ForwardingStep {
        val placeRefusal = tables.placeRefusal(request, settings)
        return when {
            placeRefusal != null -> refusePlace(tables, request, placeRefusal, settings, now)
            tables.isVersionGone(request, settings) -> refuseVersionGone(tables, request, settings, now)
            else -> {
                val retryAfterMillis = retryAfterMillis(tables, request, now)
                refuseRequest(tables, request, RefusalReason.NO_UPSTREAM, retryAfterMillis, now)
            }
        }
    }

    /**
     * Ejected upstreams are used only if there are no others; those in a pause never, and for a stream that has begun
     * none of another version, which would write a different text. Leaving ones only end streams of their version.
     */
    override fun candidates(tables: ForwardingTables, request: RequestRow, now: Timestamp): List<UpstreamRow> {
        val places = tables.placesFor(request, settings)
        val usable = tables.upstreams.values.filter {
            it.entry.group == request.group && request.mayUse(it.entry) && !it.isPaused(now) &&
                places.allows(it.entry.domain) && pacing.allows(tables, it, now) &&
                it.hasMemoryFor(request, tables, settings.policies.maximumUpstreamBytes)
        }
        val staying = usable.filter { !it.isLeaving }
        val sound = staying.filterNot { it.isEjected(now) }.ifEmpty { staying }
        val isBegun = request.streamVersion != null
        val candidates =
            sound.ifEmpty { usable.filter { isBegun && it.canEndStreams(now, settings.times.leavingUseMillis) } }
        return pacing.preferred(tables, candidates, now)
    }

    /** The time until the first upstream takes a request, if all that stay are in a pause or cold. */
    private fun retryAfterMillis(tables: ForwardingTables, request: RequestRow, now: Timestamp): Long {
        val staying = tables.upstreams.values.filter { it.entry.group == request.group && !it.isLeaving }
        val waits = staying.map { row ->
            val pauseMillis = row.availability.pausedUntil?.let { it - now } ?: 0
            maxOf(pauseMillis, pacing.waitMillis(tables, row, now))
        }
        return maxOf(settings.times.retryAfterMillis, waits.minOrNull() ?: 0)
    }

    override fun sendAttempt(
        tables: ForwardingTables,
        request: RequestRow,
        candidates: List<UpstreamRow>,
        now: Timestamp,
    ): ForwardingStep {
        val row = selection.choose(candidates, request, now, tables.random)
        val uncached = uncachedTokens(row, request)
        val attempt = request.attempts + 1
        val silence = request.silent?.silence
        val sentRequest = request.copy(
            phase = AwaitingAnswer(
                row.entry.id,
                attempt,
                now,
                uncached,
                row.entry.version,
                bodyBytes = request.head.bodyBytes,
            ),
            attempts = attempt,
            triedUpstreams = request.triedUpstreams.add(row.entry.id),
        )
        val sentRow = pacing.withSend(row.withRequest(request, uncached, now), now)
        val next = tables.copy(
            random = tables.random.advance(),
            requests = tables.requests.put(request.number, sentRequest),
            waiting = tables.waiting.remove(request.number),
            upstreams = tables.upstreams.put(row.entry.id, sentRow),
            retries = if (silence == null) tables.retries else tables.retries.withRetryCounted(request.group, now),
        ).withLoadNoticeDue(uncached, now, settings)
        val decision = logDecision(
            DecisionKind.REQUEST_SENT,
            request.head.callId,
            "upstream" to row.entry.id,
            "attempt" to attempt,
            "candidates" to candidates.size,
            "in_flight" to row.inFlight,
            "unread" to row.pendingPromptTokens,
            "unread_of_others" to row.peerPendingTokens(now).toLong(),
            "uncached" to uncached,
            "load_age_ms" to row.load?.let { now - it.reportedAt },
            "failure_rate" to row.failures.rateAt(now),
            "version" to tables.configuration?.version,
            "software_version" to row.entry.version,
            "continues" to (request.isAnswerStarted || request.head.continuation != null),
            "first_call" to request.head.continuation?.firstCallId,
        )
        return ForwardingStep(
            next,
            listOf(
                SendAttempt(request.number, attempt, row.entry, attemptTerms(tables, request, now), silence),
                decision,
            ),
        )
    }

    private fun UpstreamRow.withRequest(request: RequestRow, uncached: Long, now: Timestamp): UpstreamRow {
        val keptParts = if (sentParts.size > MAXIMUM_SENT_PARTS) sentParts.clear() else sentParts
        return copy(
            inFlight = inFlight + 1,
            inFlightBytes = inFlightBytes + request.head.bodyBytes,
            sentSinceLoad = sentSinceLoad + 1,
            pendingPromptTokens = pendingPromptTokens + uncached,
            sentParts = request.head.prompt?.parts.orEmpty().fold(keptParts) { table, part -> table.put(part.id, now) },
        )
    }

    private fun attemptTerms(tables: ForwardingTables, request: RequestRow, now: Timestamp): AttemptTerms {
        val kind = request.route.kind
        val times = settings.times
        val isLast = request.triedUpstreams.size + 1 >= request.route.maximumAttempts
        val answerTimeoutMillis = if (kind.isStream) times.firstEventTimeoutMillis else times.answerTimeoutMillis
        return AttemptTerms(
            organisation = request.organisation,
            priority = request.priority,
            remainingMillis = request.dueAt - now,
            isStream = kind.isStream,
            firstAnswerTimeoutMillis = answerTimeoutMillis.takeIf { kind.isRetryable && !isLast },
            stallTimeoutMillis = times.stallTimeoutMillis.takeIf { kind == WorkKind.RESUMABLE_STREAM && !isLast },
            maximumConnections = tables.configuration?.groups?.get(request.group)?.maximumConnections
                ?: DEFAULT_MAXIMUM_CONNECTIONS,
        )
    }
}

internal fun RequestRow.mayUse(entry: UpstreamEntry): Boolean =
    entry.id !in triedUpstreams && (streamVersion == null || entry.version == streamVersion)

/** True if the list has no upstream in an allowed place that could go on with the stream of [request]. */
private fun ForwardingTables.isVersionGone(request: RequestRow, settings: ForwardingSettings): Boolean {
    val places = placesFor(request, settings)
    return request.streamVersion != null && upstreams.values.none {
        it.entry.group == request.group && it.entry.version == request.streamVersion && !it.isLeaving &&
            places.allows(it.entry.domain)
    }
}

/** True if the upstream has been leaving for less than [limitMillis], so that it serves for a while. */
private fun UpstreamRow.canEndStreams(now: Timestamp, limitMillis: Long): Boolean {
    val listedSince = availability.listedLeavingSince
    val since = listOfNotNull(listedSince, availability.leavingSince).minOrNull()
    val isStartKnown = !entry.isLeaving || listedSince != null
    return since != null && isStartKnown && now - since < limitMillis
}
