/**
 * Looks again at requests that wait for tokens when the leader has answered.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.forwarding.api.AwaitingAllowance
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.LoanReceived
import org.ibismoor.forwarding.api.ReportAnswered
import org.ibismoor.forwarding.api.RequestRow

internal class AllowanceSystem(private val settings: ForwardingSettings) : ForwardingSystem {
    override fun run(tables: ForwardingTables, tick: Tick<ForwardingMessage>): ForwardingStep {
        val isAnswered = tick.messages.any { it is ReportAnswered && it.answer.isLeading || it is LoanReceived }
        if (!isAnswered) return ForwardingStep(tables)
        val lacking = tables.waiting.keys.mapNotNull(tables.requests::get).filter { it.phase is AwaitingAllowance }
        return foldSteps(tables, lacking.sortedBy { it.number }) { table, request -> review(table, request, tick.now) }
    }

    private fun review(tables: ForwardingTables, request: RequestRow, now: Timestamp): ForwardingStep {
        val cost = request.head.prompt?.maximumCost ?: 0
        val phase = request.phase as AwaitingAllowance
        val row = tables.allowanceOf(request.organisation)
        val toldAt = row.toldAt
        val isAnswered = toldAt != null && toldAt >= phase.since
        val isSpent = isAnswered && row.unspent < cost
        val isHeldElsewhere = isAnswered && row.available + row.unissued < cost
        val reserved = tables.reserving(request, cost)?.withoutMissing(request, cost)
        return when {
            reserved != null -> ForwardingStep(reserved)
            isSpent ->
                refuseLacking(tables, request, RefusalReason.BUDGET_EXHAUSTED, settings.times.retryAfterMillis, now)
            isHeldElsewhere ->
                refuseLacking(tables, request, RefusalReason.SHARE_EXHAUSTED, settings.times.retryAfterMillis, now)
            else -> ForwardingStep(tables)
        }
    }
}

/** True if no leader has answered for longer than a report may take. */
internal fun ForwardingTables.isControlLost(now: Timestamp, settings: ForwardingSettings): Boolean {
    val answeredAt = fleet.answeredAt ?: return true
    return now - answeredAt > settings.times.reportMillis * 2
}

/**
 * How long a request waits for tokens that the router has asked for. A leader that answers ends the wait at once, so at
 * a router on the VM of a replica the wait lasts for an election: only a lost leader can use it up.
 */
internal fun ForwardingTables.allowancePatience(now: Timestamp, settings: ForwardingSettings): Long {
    val times = settings.times
    val silence = fleet.answeredAt?.let { now - it } ?: Long.MAX_VALUE
    return when {
        isNearControl(settings) && silence <= times.electionMillis -> times.electionWaitMillis
        !isControlLost(now, settings) -> times.allowanceWaitMillis
        else -> times.loanWaitMillis
    }
}

/** True if a control process runs on this router's VM. */
internal fun ForwardingTables.isNearControl(settings: ForwardingSettings): Boolean =
    settings.entry.address.substringBeforeLast(':') in fleet.hosts

/** Refuses [request], which waits for tokens that did not come. */
internal fun refuseLacking(
    tables: ForwardingTables,
    request: RequestRow,
    reason: RefusalReason,
    retryAfterMillis: Long,
    now: Timestamp,
): ForwardingStep {
    val cost = request.head.prompt?.maximumCost ?: 0
    val found = tables.withoutMissing(request, cost)
    return refusal(found, request, reason, retryAfterMillis, now)
}

private fun ForwardingTables.withoutMissing(request: RequestRow, cost: Long): ForwardingTables {
    val row = allowanceOf(request.organisation)
    return withAllowance(request.organisation, row.copy(missing = (row.missing - cost).coerceAtLeast(0)))
}
