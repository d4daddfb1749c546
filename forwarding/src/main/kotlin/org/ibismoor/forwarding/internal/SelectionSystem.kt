/**
 * Sends waiting requests to upstreams, the most urgent first.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.forwarding.api.AttemptTerms
import org.ibismoor.forwarding.api.AwaitingUpstream
import org.ibismoor.forwarding.api.DecisionKind
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.RequestRow
import org.ibismoor.forwarding.api.SendAttempt
import org.ibismoor.forwarding.api.Sent
import org.ibismoor.forwarding.api.UpstreamRow
import org.ibismoor.forwarding.api.UpstreamSelection
import org.ibismoor.forwarding.api.WorkKind

/** Prompt parts that are remembered for each upstream; all are forgotten beyond that. */
private const val MAXIMUM_PARTS = 4_096

private const val DEFAULT_CONNECTIONS = 100

internal class SelectionSystem(
    private val settings: ForwardingSettings,
    private val selection: UpstreamSelection,
) : ForwardingSystem {
    override fun run(tables: ForwardingTables, tick: Tick<ForwardingMessage>): ForwardingStep {
        if (tables.waiting.isEmpty()) return ForwardingStep(tables)
        val ready = tables.waiting.keys.mapNotNull(tables.requests::get).filter { it.phase is AwaitingUpstream }
        val ordered = ready.sortedWith(compareBy({ it.priority }, { it.number }))
        return foldSteps(tables, ordered) { table, request -> dispatch(table, request, tick.now) }
    }

    private fun dispatch(tables: ForwardingTables, request: RequestRow, now: Timestamp): ForwardingStep {
        val candidates = candidates(tables, request, now)
        return when {
            candidates.isNotEmpty() -> send(tables, request, candidates, now)
            else -> refusal(tables, request, RefusalReason.NO_UPSTREAM, settings.times.retryAfterMillis, now)
        }
    }

    /** Ejected upstreams are used only if there are no others. */
    private fun candidates(tables: ForwardingTables, request: RequestRow, now: Timestamp): List<UpstreamRow> {
        val usable = tables.upstreams.values.filter {
            it.entry.group == request.group && !it.entry.isLeaving && it.entry.id !in request.tried
        }
        return usable.filterNot { it.isEjected(now) }.ifEmpty { usable }
    }

    private fun send(
        tables: ForwardingTables,
        request: RequestRow,
        candidates: List<UpstreamRow>,
        now: Timestamp,
    ): ForwardingStep {
        val row = selection.choose(candidates, request, now, tables.random)
        val unread = uncachedTokens(row, request)
        val attempt = request.attempts + 1
        val sent = request.copy(
            phase = Sent(row.entry.id, attempt, now, unread),
            attempts = attempt,
            tried = request.tried.add(row.entry.id),
        )
        val next = tables.copy(
            random = tables.random.advance(),
            requests = tables.requests.put(request.number, sent),
            waiting = tables.waiting.remove(request.number),
            upstreams = tables.upstreams.put(row.entry.id, row.taking(request, unread, now)),
        ).usingMore(unread, now, settings)
        val decision = decided(
            DecisionKind.REQUEST_SENT,
            request.head.callId,
            "upstream" to row.entry.id,
            "attempt" to attempt,
            "candidates" to candidates.size,
            "in_flight" to row.inFlight,
            "unread" to row.pendingPromptTokens,
            "unread_of_others" to row.peerTokens(now).toLong(),
            "uncached" to unread,
            "load_age_ms" to row.load?.let { now - it.at },
            "failure_rate" to row.failures.rateAt(now),
            "version" to tables.configuration?.version,
        )
        return ForwardingStep(
            next,
            listOf(SendAttempt(request.number, attempt, row.entry, terms(tables, request, now)), decision),
        )
    }

    private fun UpstreamRow.taking(request: RequestRow, unread: Long, now: Timestamp): UpstreamRow {
        val known = if (parts.size > MAXIMUM_PARTS) parts.clear() else parts
        return copy(
            inFlight = inFlight + 1,
            sentSinceLoad = sentSinceLoad + 1,
            pendingPromptTokens = pendingPromptTokens + unread,
            parts = request.head.prompt?.parts.orEmpty().fold(known) { table, part -> table.put(part.id, now) },
        )
    }

    private fun terms(tables: ForwardingTables, request: RequestRow, now: Timestamp): AttemptTerms {
        val kind = request.route.kind
        val times = settings.times
        val isLast = request.tried.size + 1 >= request.route.maximumAttempts
        val patience = if (kind.isStream) times.firstEventMillis else times.answerMillis
        return AttemptTerms(
            organisation = request.organisation,
            priority = request.priority,
            remainingMillis = request.dueAt - now,
            isStream = kind.isStream,
            firstAnswerTimeoutMillis = patience.takeIf { kind.isRepeatable && !isLast },
            stallTimeoutMillis = times.stallTimeoutMillis.takeIf { kind == WorkKind.RESUMABLE_STREAM && !isLast },
            maximumConnections = tables.configuration?.groups?.get(request.group)?.maximumConnections
                ?: DEFAULT_CONNECTIONS,
        )
    }
}
