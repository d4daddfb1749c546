/**
 * Changes to the allowance table. A request reserves its maximum cost before it is sent and settles its actual cost
 * when it ends, so that the router never spends more tokens than it was issued.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.Timestamp
import org.ibismoor.forwarding.api.AllowanceRow
import org.ibismoor.forwarding.api.AwaitingAllowance
import org.ibismoor.forwarding.api.AwaitingUpstream
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.RequestRow

/** Weight of the latest reservation in the exponentially weighted mean. */
private const val NEWEST_WEIGHT = 0.1

internal fun ForwardingTables.allowanceOf(organisation: OrganisationId?): AllowanceRow =
    organisation?.let(allowances::get) ?: AllowanceRow()

/** Reserves [cost] tokens for [request], which then waits for an upstream; null if too few are available. */
internal fun ForwardingTables.withReservation(request: RequestRow, cost: Long): ForwardingTables? {
    val row = allowanceOf(request.organisation)
    if (row.available < cost) return null
    val reservedRow = row.copy(
        reserved = row.reserved + cost,
        reservedSinceReport = row.reservedSinceReport + cost,
        meanReservation = row.meanReservation + (cost - row.meanReservation) * NEWEST_WEIGHT,
    )
    return withAllowance(request.organisation, reservedRow)
        .withWaiting(request.copy(phase = AwaitingUpstream, reserved = cost))
}

/** Makes [request] wait for tokens and brings the next report forward to now, so that the leader learns of them. */
internal fun ForwardingTables.withShortfall(request: RequestRow, now: Timestamp, waitMillis: Long): ForwardingTables {
    val until = minOf(now + waitMillis, request.dueAt)
    val row = allowanceOf(request.organisation)
    val cost = request.head.prompt?.maximumCost ?: 0
    return withAllowance(request.organisation, row.copy(shortfall = row.shortfall + cost))
        .withWaiting(request.copy(phase = AwaitingAllowance(now, until)))
        .let { it.copy(due = it.due.plus(until, request.number), fleet = it.fleet.copy(nextReportAt = now)) }
}

internal fun ForwardingTables.withSettledCost(request: RequestRow, cost: Long): ForwardingTables {
    if (request.reserved == 0L) return this
    val row = allowanceOf(request.organisation)
    val settledRow = row.copy(reserved = row.reserved - request.reserved, settled = row.settled + cost)
    return withAllowance(request.organisation, settledRow)
}

internal fun ForwardingTables.withAllowance(organisation: OrganisationId?, row: AllowanceRow): ForwardingTables =
    if (organisation == null) this else copy(allowances = allowances.put(organisation, row))
