/**
 * Refuses requests whose deadline has passed or whose wait for tokens is over.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.foldSteps
import org.ibismoor.forwarding.api.AwaitingAllowance
import org.ibismoor.forwarding.api.AwaitingAnswer
import org.ibismoor.forwarding.api.AwaitingOrigin
import org.ibismoor.forwarding.api.AwaitingRoom
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.RequestRow

internal class DeadlineSystem(private val settings: ForwardingSettings) : ForwardingSystem {
    override fun run(tables: ForwardingTables, tick: Tick<ForwardingMessage>): ForwardingStep {
        val due = tables.due.take(tick.now)
        if (due.entries.isEmpty()) return ForwardingStep(tables)
        val requests = due.entries.map { it.id }.distinct().mapNotNull(tables.requests::get)
        return foldSteps(tables.copy(due = due.rest), requests) { table, request ->
            expireRequest(table, request, tick.now)
        }
    }

    private fun expireRequest(tables: ForwardingTables, request: RequestRow, now: Timestamp): ForwardingStep {
        val phase = request.phase
        val isAllowanceWaitOver = phase is AwaitingAllowance && phase.until <= now
        return when {
            isAllowanceWaitOver -> {
                val times = settings.times
                val isControlLost = tables.isControlLost(now, settings)
                val retryAfter = if (isControlLost) times.otherRouterRetryAfterMillis else times.retryAfterMillis
                refuseForAllowance(tables, request, RefusalReason.SHARE_EXHAUSTED, retryAfter, now)
            }
            phase is AwaitingOrigin && phase.until <= now -> refuseUnknownStream(tables, request, phase, now)
            phase is AwaitingRoom && phase.until <= now ->
                refuseWithoutRoom(tables, request, RefusalReason.QUEUE_DEADLINE, settings, now)
            request.dueAt <= now -> refuseOverdue(tables, request, now)
            else -> ForwardingStep(tables)
        }
    }

    /** The router that began the stream may still report it, and control may be reached again. */
    private fun refuseUnknownStream(
        tables: ForwardingTables,
        request: RequestRow,
        phase: AwaitingOrigin,
        now: Timestamp,
    ): ForwardingStep {
        val times = settings.times
        val retryAfter = if (phase.isUnknownToLeader) times.reportIntervalMillis else times.otherRouterRetryAfterMillis
        return refuseRequest(tables, request, RefusalReason.UNKNOWN_STREAM, retryAfter, now)
    }

    private fun refuseOverdue(tables: ForwardingTables, request: RequestRow, now: Timestamp): ForwardingStep {
        val mayHaveRun = request.mayHaveRun || request.phase is AwaitingAnswer
        val reason = if (mayHaveRun) RefusalReason.UPSTREAM_TIMEOUT else RefusalReason.QUEUE_DEADLINE
        // The caller may have received the whole answer by now, so the request is charged its maximum cost.
        val events = if (request.isAnswerStarted) Int.MAX_VALUE else request.deliveredEvents
        val overdueRequest = request.copy(mayHaveRun = mayHaveRun, deliveredEvents = events)
        return refuseRequest(tables, overdueRequest, reason, settings.times.retryAfterMillis, now)
    }
}
