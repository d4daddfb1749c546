/**
 * Keeps the recorded spending limits ahead of the demand, so that requests rarely wait for the disk. A session that
 * ends strands at most what its limits exceed its spending by. If the disk fails, the session tells the leader that it
 * stops recording, and continues without limits once the leader has confirmed it.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.coordination.api.SpendingRecording
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.foldSteps
import org.ibismoor.core.api.then
import org.ibismoor.forwarding.api.AllowanceRow
import org.ibismoor.forwarding.api.AwaitingAllowance
import org.ibismoor.forwarding.api.DecisionKind
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.RecordSpending
import org.ibismoor.forwarding.api.ReportAnswered
import org.ibismoor.forwarding.api.RequestArrived
import org.ibismoor.forwarding.api.SpendingRecordFailed
import org.ibismoor.forwarding.api.SpendingRecorded

/** Time of demand by which a limit exceeds the tokens committed when it is recorded. */
private const val LIMIT_LEAD_MILLIS = 1_500L

/** The same in mean reservations, for an organisation with little demand. */
private const val LIMIT_LEAD_RESERVATIONS = 4

/** A limit is raised when less than its lead divided by this is left. */
private const val REFILL_DIVISOR = 2

/** A write that takes longer while requests wait for it ends the recording. */
private const val WRITE_TIMEOUT_MILLIS = 500L

private const val MILLIS_PER_SECOND = 1_000.0

internal class SpendingSystem : ForwardingSystem {
    override fun run(tables: ForwardingTables, tick: Tick<ForwardingMessage>): ForwardingStep {
        if (!tables.spending.isLimited) return ForwardingStep(tables)
        return foldSteps(tables, tick.messages) { table, message -> applyMessage(table, message, tick.now) }
            .then { stopHangingRecord(it, tick.now) }
            .then { raiseLimits(it, tick) }
    }

    private fun applyMessage(tables: ForwardingTables, message: ForwardingMessage, now: Timestamp): ForwardingStep =
        when (message) {
            is SpendingRecorded -> ForwardingStep(tables.withRecordedLimits(message.limits))
            is SpendingRecordFailed -> stopRecording(tables, message.cause, now)
            is ReportAnswered -> ForwardingStep(if (message.answer.isLeading) tables.withStopConfirmed() else tables)
            else -> ForwardingStep(tables)
        }

    private fun stopHangingRecord(tables: ForwardingTables, now: Timestamp): ForwardingStep {
        val since = tables.spending.writingSince ?: return ForwardingStep(tables)
        val isWaitedFor = now - since > WRITE_TIMEOUT_MILLIS && tables.waitingOrganisations().isNotEmpty()
        return if (isWaitedFor) stopRecording(tables, "timeout", now) else ForwardingStep(tables)
    }

    private fun stopRecording(tables: ForwardingTables, cause: String, now: Timestamp): ForwardingStep {
        if (tables.spending.recording == SpendingRecording.STOPPED) return ForwardingStep(tables)
        val spending = tables.spending.copy(recording = SpendingRecording.STOPPED, writingSince = null)
        val next = tables.copy(spending = spending, fleet = tables.fleet.copy(nextReportAt = now))
        return ForwardingStep(next, listOf(logDecision(DecisionKind.RECORDING_STOPPED, null, "cause" to cause)))
    }

    private fun raiseLimits(tables: ForwardingTables, tick: Tick<ForwardingMessage>): ForwardingStep {
        val spending = tables.spending
        val isIdle = spending.recording == SpendingRecording.RECORDED && spending.writingSince == null
        val limits = if (isIdle) raisedLimits(tables, tick.messages) else emptyMap()
        if (limits.isEmpty()) return ForwardingStep(tables)
        val next = tables.copy(spending = spending.copy(writingSince = tick.now))
        return ForwardingStep(next, listOf(RecordSpending(limits)))
    }

    /** Only organisations whose requests have arrived or wait need more. */
    private fun raisedLimits(tables: ForwardingTables, messages: List<ForwardingMessage>): Map<OrganisationId, Long> {
        val arrived = messages.filterIsInstance<RequestArrived>()
            .mapNotNull { tables.requests[it.number]?.organisation }
        return (tables.waitingOrganisations() + arrived).distinct()
            .mapNotNull { organisation -> tables.raisedLimit(organisation)?.let { organisation to it } }
            .toMap()
    }
}

/** The limit to record next; null if enough is left of the present one, or if the router holds no more tokens. */
private fun ForwardingTables.raisedLimit(organisation: OrganisationId): Long? {
    val row = allowanceOf(organisation)
    val limit = row.spendingLimit ?: return null
    val waiting = waitingCost(organisation)
    val lead = row.limitLead()
    val isLow = limit - row.committed < lead / REFILL_DIVISOR || limit - row.committed < waiting
    val raised = row.committed + minOf(lead + waiting, row.unreserved)
    return raised.takeIf { isLow && it > limit }
}

private fun AllowanceRow.limitLead(): Long {
    val demand = demandPerSecond * LIMIT_LEAD_MILLIS / MILLIS_PER_SECOND
    return maxOf(demand, LIMIT_LEAD_RESERVATIONS * meanReservation).toLong()
}

private fun ForwardingTables.waitingForTokens() =
    waiting.keys.mapNotNull(requests::get).filter { it.phase is AwaitingAllowance }

private fun ForwardingTables.waitingOrganisations(): List<OrganisationId> =
    waitingForTokens().mapNotNull { it.organisation }

private fun ForwardingTables.waitingCost(organisation: OrganisationId): Long =
    waitingForTokens().filter { it.organisation == organisation }.sumOf { it.head.prompt?.maximumCost ?: 0 }

private fun ForwardingTables.withRecordedLimits(limits: Map<OrganisationId, Long>): ForwardingTables =
    limits.entries.fold(copy(spending = spending.copy(writingSince = null))) { table, (organisation, limit) ->
        val row = table.allowanceOf(organisation)
        val next = row.spendingLimit?.let { maxOf(it, limit) }
        table.withAllowance(organisation, row.copy(spendingLimit = next))
    }

private fun ForwardingTables.withStopConfirmed(): ForwardingTables {
    if (!spending.isStopReported) return this
    return allowances.keys.fold(copy(spending = spending.copy(isStopConfirmed = true))) { table, id ->
        table.withAllowance(id, table.allowanceOf(id).copy(spendingLimit = null))
    }
}
