/**
 * Handles due timers: deadlines of streams, resends of ledger requests, ends of backoffs and of ejections.
 */
package org.ibismoor.routing.internal

import org.ibismoor.core.api.AttemptId
import org.ibismoor.core.api.DueEntry
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.routing.api.AbandonedReservationTimer
import org.ibismoor.routing.api.LedgerAuthority
import org.ibismoor.routing.api.RoutingMessage
import org.ibismoor.routing.api.RoutingSettings
import org.ibismoor.routing.api.RoutingTables
import org.ibismoor.routing.api.RoutingTimer
import org.ibismoor.routing.api.SendLedgerRequest
import org.ibismoor.routing.api.StreamPhase
import org.ibismoor.routing.api.StreamRow
import org.ibismoor.routing.api.StreamTimer
import org.ibismoor.routing.api.UpstreamTimer

internal class DeadlineSystem(private val settings: RoutingSettings) : RoutingSystem {
    private val requests = ReservationRequests(settings)
    private val limits = settings.limits

    override fun run(tables: RoutingTables, tick: Tick<RoutingMessage>): RoutingStep {
        val due = tables.due.take(tick.now)
        return if (due.entries.isEmpty()) {
            tables.step()
        } else {
            tables.copy(due = due.rest).foldSteps(due.entries) { t, entry -> handleTimer(t, entry, tick.now) }
        }
    }

    private fun handleTimer(tables: RoutingTables, entry: DueEntry<RoutingTimer>, now: Timestamp): RoutingStep =
        when (val timer = entry.id) {
            is StreamTimer -> tables.streams[timer.stream]?.takeIf { it.due == entry.time }
                ?.let { handleStreamTimer(tables, it, now) } ?: tables.step()
            is AbandonedReservationTimer -> resendEnding(tables, timer.attempt, entry.time, now)
            is UpstreamTimer -> tables.readmitUpstream(timer.upstream, now).step()
        }

    private fun handleStreamTimer(tables: RoutingTables, row: StreamRow, now: Timestamp): RoutingStep {
        val endsAt = row.settleDeadline(limits) ?: row.work.deadline
        val isResendDue = row.reservation?.pending != null && checkNotNull(row.reservation).resendAt <= now
        return when {
            now >= endsAt || row.phase == StreamPhase.QUEUED ->
                tables.failStream(settings, row, timeoutFailure(tables, row), now)
            isResendDue -> requests.handleUnanswered(tables, row, isDelivered = true, now)
            else -> tables.copy(streamsToSelect = tables.streamsToSelect.add(row.id)).step()
        }
    }

    private fun timeoutFailure(tables: RoutingTables, row: StreamRow): Failure =
        when (row.phase) {
            StreamPhase.QUEUED -> Failure(queueTimeoutReason(tables, row), retryAfterMillis = RETRY_AFTER_MILLIS)
            StreamPhase.RESERVING, StreamPhase.ANSWERED -> ledgerUnavailable(row)
            StreamPhase.WAITING -> Failure(waitingTimeoutReason(row))
            StreamPhase.RUNNING -> Failure(RefusalReason.UPSTREAM_TIMEOUT)
        }

    private fun queueTimeoutReason(tables: RoutingTables, row: StreamRow): RefusalReason {
        val hasUpstream = tables.group(row.work.route.group).usable.isNotEmpty()
        return if (hasUpstream) RefusalReason.QUEUE_DEADLINE else RefusalReason.NO_UPSTREAM
    }

    private fun waitingTimeoutReason(row: StreamRow): RefusalReason =
        if (row.failure == null) RefusalReason.NO_UPSTREAM else RefusalReason.UPSTREAM_FAILED

    private fun resendEnding(tables: RoutingTables, id: AttemptId, time: Timestamp, now: Timestamp): RoutingStep {
        val row = tables.abandonedReservations[id]?.takeIf { it.due == time } ?: return tables.step()
        val lastContactAt = tables.authorities[row.authority]?.lastContactAt ?: row.abandonedAt
        val isExpired = now >= maxOf(lastContactAt, row.abandonedAt) + limits.sessionTimeoutMillis
        val due = now + ABANDONED_RESEND_MILLIS
        return if (isExpired) {
            tables.copy(abandonedReservations = tables.abandonedReservations.remove(id)).step()
        } else {
            tables.copy(
                abandonedReservations = tables.abandonedReservations.put(id, row.copy(due = due)),
                due = tables.due.plus(due, AbandonedReservationTimer(id)),
            ).step(SendLedgerRequest(LedgerAuthority(row.authority), row.request))
        }
    }

    private companion object {
        const val RETRY_AFTER_MILLIS = 1_000L
    }
}
