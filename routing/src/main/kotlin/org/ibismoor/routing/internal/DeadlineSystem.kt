/**
 * Does what is due: deadlines of streams, ledger requests to send again, backoffs that end, ends of ejections.
 */
package org.ibismoor.routing.internal

import org.ibismoor.core.api.AttemptId
import org.ibismoor.core.api.DueEntry
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.routing.api.ClosingTimer
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
    private val leases = Leases(settings)
    private val limits = settings.limits

    override fun run(tables: RoutingTables, tick: Tick<RoutingMessage>): RoutingStep {
        val due = tables.due.take(tick.now)
        return if (due.entries.isEmpty()) {
            tables.step()
        } else {
            tables.copy(due = due.rest).forEach(due.entries) { t, entry -> perform(t, entry, tick.now) }
        }
    }

    private fun perform(tables: RoutingTables, entry: DueEntry<RoutingTimer>, now: Timestamp): RoutingStep =
        when (val timer = entry.id) {
            is StreamTimer -> tables.streams[timer.stream]?.takeIf { it.due == entry.time }
                ?.let { dueStream(tables, it, now) } ?: tables.step()
            is ClosingTimer -> dueClosing(tables, timer.attempt, entry.time, now)
            is UpstreamTimer -> tables.readmitted(timer.upstream, now).step()
        }

    private fun dueStream(tables: RoutingTables, row: StreamRow, now: Timestamp): RoutingStep {
        val completion = row.completion
        val isLedgerLate = row.lease?.pending != null && checkNotNull(row.lease).resendAt <= now
        val isSettleOver = completion != null && now >= completion.at + limits.settleMillis
        return when {
            isSettleOver || (completion == null && now >= row.work.deadline) || row.phase == StreamPhase.QUEUED ->
                tables.fail(settings, row, lateness(tables, row), now)
            isLedgerLate -> leases.unanswered(tables, row, isDelivered = true, now)
            else -> tables.copy(toSelect = tables.toSelect.add(row.id)).step()
        }
    }

    private fun lateness(tables: RoutingTables, row: StreamRow): Failure =
        when (row.phase) {
            StreamPhase.QUEUED -> Failure(queueReason(tables, row), retryAfterMillis = RETRY_AFTER_MILLIS)
            StreamPhase.RESERVING, StreamPhase.ANSWERED -> unavailable(row)
            StreamPhase.WAITING -> Failure(waitingReason(row))
            StreamPhase.RUNNING -> Failure(RefusalReason.UPSTREAM_TIMEOUT)
        }

    private fun queueReason(tables: RoutingTables, row: StreamRow): RefusalReason {
        val hasUpstream = tables.group(row.work.route.group).usable.isNotEmpty()
        return if (hasUpstream) RefusalReason.QUEUE_DEADLINE else RefusalReason.NO_UPSTREAM
    }

    private fun waitingReason(row: StreamRow): RefusalReason =
        if (row.failure == null) RefusalReason.NO_UPSTREAM else RefusalReason.UPSTREAM_FAILED

    private fun dueClosing(tables: RoutingTables, id: AttemptId, time: Timestamp, now: Timestamp): RoutingStep {
        val row = tables.closings[id]?.takeIf { it.due == time } ?: return tables.step()
        val heardAt = tables.authorities[row.authority]?.heardAt ?: row.since
        val isExpired = now >= maxOf(heardAt, row.since) + limits.sessionMillis
        val due = now + CLOSING_RESEND_MILLIS
        return if (isExpired) {
            tables.copy(closings = tables.closings.remove(id)).step()
        } else {
            tables.copy(
                closings = tables.closings.put(id, row.copy(due = due)),
                due = tables.due.plus(due, ClosingTimer(id)),
            ).step(SendLedgerRequest(LedgerAuthority(row.authority), row.request))
        }
    }

    private companion object {
        const val RETRY_AFTER_MILLIS = 1_000L
    }
}
