/**
 * Decides on requests that wait for tokens whenever the leader has answered or another router has lent tokens.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.foldSteps
import org.ibismoor.forwarding.api.AwaitingAllowance
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.LoanReceived
import org.ibismoor.forwarding.api.ReportAnswered
import org.ibismoor.forwarding.api.RequestRow

internal class AllowanceSystem(private val settings: ForwardingSettings) : ForwardingSystem {
    override fun run(tables: ForwardingTables, tick: Tick<ForwardingMessage>): ForwardingStep {
        val isUpdated = tick.messages.any { it is ReportAnswered && it.answer.isLeading || it is LoanReceived }
        if (!isUpdated) return ForwardingStep(tables)
        val requests = tables.waiting.keys.mapNotNull(tables.requests::get).filter { it.phase is AwaitingAllowance }
        return foldSteps(tables, requests.sortedBy { it.number }) { table, request ->
            decideWaitingRequest(table, request, tick.now)
        }
    }

    private fun decideWaitingRequest(tables: ForwardingTables, request: RequestRow, now: Timestamp): ForwardingStep {
        val cost = request.head.prompt?.maximumCost ?: 0
        val phase = request.phase as AwaitingAllowance
        val row = tables.allowanceOf(request.organisation)
        val updatedAt = row.updatedAt
        val isUpdated = updatedAt != null && updatedAt >= phase.since
        val isSpent = isUpdated && row.unspent < cost
        val isHeldElsewhere = isUpdated && row.available + row.unissued < cost
        val tablesWithReservation = tables.withReservation(request, cost)?.withoutShortfall(request, cost)
        val retryAfter = settings.times.retryAfterMillis
        return when {
            tablesWithReservation != null -> ForwardingStep(tablesWithReservation)
            // Spent tokens never come back, so this refusal has no retry time.
            isSpent -> refuseForAllowance(tables, request, RefusalReason.BUDGET_EXHAUSTED, null, now)
            isHeldElsewhere -> refuseForAllowance(tables, request, RefusalReason.SHARE_EXHAUSTED, retryAfter, now)
            else -> ForwardingStep(tables)
        }
    }
}

/** True if no leader has answered within two report intervals. */
internal fun ForwardingTables.isControlLost(now: Timestamp, settings: ForwardingSettings): Boolean {
    val leaderAnsweredAt = fleet.leaderAnsweredAt ?: return true
    return now - leaderAnsweredAt > settings.times.reportIntervalMillis * 2
}

/**
 * How long, in milliseconds, a request waits for tokens that the router has requested. A reachable leader ends the wait
 * with its answer, so only the loss of the leader uses up the limit. A router on the VM of a control process therefore
 * waits as long as an election takes.
 */
internal fun ForwardingTables.allowanceWaitLimit(now: Timestamp, settings: ForwardingSettings): Long {
    val times = settings.times
    val answerAge = fleet.leaderAnsweredAt?.let { now - it } ?: Long.MAX_VALUE
    return when {
        isColocatedWithControl(settings) && answerAge <= times.maximumElectionMillis -> times.maximumElectionWaitMillis
        !isControlLost(now, settings) -> times.maximumAllowanceWaitMillis
        else -> times.maximumLoanWaitMillis
    }
}

/** True if a control process runs on the same VM as this router. */
internal fun ForwardingTables.isColocatedWithControl(settings: ForwardingSettings): Boolean =
    settings.entry.address.substringBeforeLast(':') in fleet.controlHosts

/** Refuses [request], whose tokens were not issued. */
internal fun refuseForAllowance(
    tables: ForwardingTables,
    request: RequestRow,
    reason: RefusalReason,
    retryAfterMillis: Long?,
    now: Timestamp,
): ForwardingStep {
    val cost = request.head.prompt?.maximumCost ?: 0
    val next = tables.withoutShortfall(request, cost)
    return refuseRequest(next, request, reason, retryAfterMillis, now)
}

private fun ForwardingTables.withoutShortfall(request: RequestRow, cost: Long): ForwardingTables {
    val row = allowanceOf(request.organisation)
    return withAllowance(request.organisation, row.copy(shortfall = (row.shortfall - cost).coerceAtLeast(0)))
}
