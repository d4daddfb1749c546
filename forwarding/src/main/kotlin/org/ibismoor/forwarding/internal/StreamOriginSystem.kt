/**
 * Finds out at which software version a stream began that a caller wants to continue. The router knows the streams that
 * began here; it asks the leader and the other routers for the rest. A stream whose beginning stays unknown is refused
 * as not run, since its text could be joined from two versions.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.coordination.api.StreamAnswer
import org.ibismoor.coordination.api.StreamOrigin
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.foldSteps
import org.ibismoor.core.api.then
import org.ibismoor.forwarding.api.AskOrigins
import org.ibismoor.forwarding.api.AwaitingOrigin
import org.ibismoor.forwarding.api.DecisionKind
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.OriginsAnswered
import org.ibismoor.forwarding.api.ReportAnswered
import org.ibismoor.forwarding.api.ReportLost
import org.ibismoor.forwarding.api.RequestRow

/** With more routers only the leader is asked, since a question goes to each of them. */
private const val MAXIMUM_ASKED_ROUTERS = 16

/** Time for which a leader's "unknown" leaves room for the answer of another router that was asked with it. */
private const val PEER_ANSWER_MILLIS = 30L

/** The source of an origin that is not recorded anywhere: a route that has moved to another group may make it wrong. */
private const val SOLE_VERSION = "sole_version"

/** Part of the time left that a request may wait for its origin. */
private const val WAIT_DIVISOR = 3

/** Shortest interval of reports on begun streams. */
private const val MINIMUM_STREAM_REPORT_MILLIS = 50L

internal class StreamOriginSystem(private val settings: ForwardingSettings) : ForwardingSystem {
    override fun run(tables: ForwardingTables, tick: Tick<ForwardingMessage>): ForwardingStep =
        foldSteps(tables.withCurrentOrigins(tick.now), tick.messages) { table, message ->
            when (message) {
                is OriginsAnswered -> applyPeerAnswer(table, message, tick.now)
                is ReportAnswered -> applyLeaderAnswer(table, message, tick.now)
                is ReportLost -> ForwardingStep(table.copy(streams = table.streams.withReportLost()))
                else -> ForwardingStep(table)
            }
        }
            .then { askPeers(it, tick.now) }
            .then { ForwardingStep(it.withReportDue(tick.now, settings)) }

    private fun applyPeerAnswer(tables: ForwardingTables, message: OriginsAnswered, now: Timestamp): ForwardingStep =
        foldSteps(tables, tables.awaitingOrigin()) { table, request ->
            val origin = message.origins[request.askedStream]
            if (origin == null) ForwardingStep(table) else table.withResolved(request, origin, "router", settings, now)
        }

    private fun applyLeaderAnswer(tables: ForwardingTables, message: ReportAnswered, now: Timestamp): ForwardingStep {
        val answer = message.answer
        if (!answer.isLeading) return ForwardingStep(tables.copy(streams = tables.streams.withReportLost()))
        val confirmed = tables.copy(streams = tables.streams.withReportConfirmed())
        val answers = answer.streams.associateBy { it.stream to it.group }
        val asking = if (answers.isEmpty()) emptyList() else confirmed.awaitingOrigin()
        return foldSteps(confirmed, asking) { table, request ->
            answers[request.askedStream to request.group]?.let { applyAnswer(table, request, it, now) }
                ?: ForwardingStep(table)
        }
    }

    private fun applyAnswer(
        tables: ForwardingTables,
        request: RequestRow,
        answer: StreamAnswer,
        now: Timestamp,
    ): ForwardingStep {
        val origin = answer.origin
        val soleVersion = answer.soleVersion
        return when {
            origin != null -> tables.withResolved(request, origin, "leader", settings, now)
            // The group was drawn by chance and may not be the one that began the stream.
            soleVersion != null && !request.isSplit -> {
                val soleOrigin = StreamOrigin(request.group, soleVersion)
                tables.withResolved(request, soleOrigin, SOLE_VERSION, settings, now)
            }
            else -> ForwardingStep(tables.withUnknownOrigin(request, now))
        }
    }

    private fun askPeers(tables: ForwardingTables, now: Timestamp): ForwardingStep {
        val asked = tables.awaitingOrigin()
            .filter { (it.phase as AwaitingOrigin).since == now && it.continuedStream != null }
            .map { it.askedStream }
            .distinct()
        val peers = tables.fleet.routers.map { it.address }.filter { it != settings.entry.address }
        val isAsked = asked.isNotEmpty() && peers.size in 1..MAXIMUM_ASKED_ROUTERS
        return ForwardingStep(tables, listOf(AskOrigins(peers, asked)).filter { isAsked })
    }
}

/** The deadline system refuses the request if no other router answers. */
private fun ForwardingTables.withUnknownOrigin(request: RequestRow, now: Timestamp): ForwardingTables {
    val phase = request.phase as AwaitingOrigin
    val until = minOf(phase.until, maxOf(now, phase.since + PEER_ANSWER_MILLIS))
    val row = request.copy(phase = phase.copy(until = until, isUnknownToLeader = true))
    return copy(requests = requests.put(request.number, row), due = due.plus(until, request.number))
}

private fun ForwardingTables.awaitingOrigin(): List<RequestRow> =
    streams.awaiting.mapNotNull(requests::get).filter { it.phase is AwaitingOrigin }.sortedBy { it.number }

private fun ForwardingTables.withCurrentOrigins(now: Timestamp): ForwardingTables {
    val next = streams.withoutExpired(now)
    return if (next === streams) this else copy(streams = next)
}

/** Goes on with [request], whose stream began at [origin], as [source] knows. */
internal fun ForwardingTables.withResolved(
    request: RequestRow,
    origin: StreamOrigin,
    source: String,
    settings: ForwardingSettings,
    now: Timestamp,
): ForwardingStep {
    val decision = logDecision(
        DecisionKind.STREAM_CONTINUED,
        request.head.callId,
        "first_call" to request.head.continuation?.firstCallId,
        "source" to source,
        "group" to origin.group,
        "software_version" to origin.version,
        "waited_ms" to now - request.arrivedAt,
    )
    val recordedStream = request.continuedStream.takeIf { source != SOLE_VERSION }
    val known = recordedStream?.let { withOrigin(it, origin, request.isSplit, now) } ?: this
    val next = known.copy(streams = known.streams.withoutAwaiting(request.number))
    val row = request.copy(group = origin.group, streamVersion = origin.version)
    val isOnRoute = request.route.targets.any { it.group == origin.group }
    val step = if (isOnRoute) admitResolved(next, row, settings, now) else refuseVersionGone(next, row, settings, now)
    return ForwardingStep(step.tables, listOf(decision) + step.effects)
}

/** Makes [request] wait for its origin and brings the next report forward, so that the leader is asked. */
internal fun ForwardingTables.withAwaitedOrigin(
    request: RequestRow,
    now: Timestamp,
    settings: ForwardingSettings,
): ForwardingTables {
    val times = settings.times
    val limit = if (isControlLost(now, settings)) times.maximumPeerOriginWaitMillis else times.maximumOriginWaitMillis
    val until = minOf(now + limit, now + (request.dueAt - now) / WAIT_DIVISOR)
    val row = request.copy(phase = AwaitingOrigin(now, until))
    return copy(
        requests = requests.put(request.number, row),
        streams = streams.copy(awaiting = streams.awaiting.add(request.number)),
        due = due.plus(until, request.number).plus(request.dueAt, request.number),
        fleet = fleet.copy(nextReportAt = minOf(fleet.nextReportAt, now)),
    )
}

/** The leader learns soon of streams that have begun, and of questions that the report in flight did not have. */
private fun ForwardingTables.withReportDue(now: Timestamp, settings: ForwardingSettings): ForwardingTables {
    val hasContact = !fleet.isReporting && fleet.leaderAnsweredAt == now
    val isAsking = awaitingOrigin().any { !(it.phase as AwaitingOrigin).isUnknownToLeader }
    val times = settings.times
    val interval = when {
        isAsking && hasContact -> times.allowanceRequestIntervalMillis
        streams.isReportUrgent && !isControlLost(now, settings) ->
            (times.streamReportMillisPerRouter * fleet.routers.size)
                .coerceIn(MINIMUM_STREAM_REPORT_MILLIS, times.reportIntervalMillis)
        else -> return this
    }
    val dueAt = minOf(fleet.nextReportAt, fleet.lastReportAt + interval)
    return if (dueAt == fleet.nextReportAt) this else copy(fleet = fleet.copy(nextReportAt = dueAt))
}
