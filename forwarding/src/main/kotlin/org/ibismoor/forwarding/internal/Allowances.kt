/**
 * Changes of the allowance table. A request reserves what it can cost at most before it is sent anywhere, and settles
 * what it has cost when it ends, so that the router never spends more than it was issued.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.Timestamp
import org.ibismoor.forwarding.api.AllowanceRow
import org.ibismoor.forwarding.api.AwaitingAllowance
import org.ibismoor.forwarding.api.AwaitingUpstream
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.RequestRow

/** Weight of the newest reservation in the mean size. */
private const val NEWEST_WEIGHT = 0.1

internal fun ForwardingTables.allowanceOf(organisation: OrganisationId?): AllowanceRow =
    organisation?.let(allowances::get) ?: AllowanceRow()

/** The tables with [cost] reserved for [request], which now waits for an upstream; null if too little is available. */
internal fun ForwardingTables.reserving(request: RequestRow, cost: Long): ForwardingTables? {
    val row = allowanceOf(request.organisation)
    if (row.available < cost) return null
    val taken = row.copy(
        reserved = row.reserved + cost,
        takenTokens = row.takenTokens + cost,
        meanReservation = row.meanReservation + (cost - row.meanReservation) * NEWEST_WEIGHT,
    )
    return withAllowance(request.organisation, taken)
        .waitingFor(request.copy(phase = AwaitingUpstream, reserved = cost))
}

/** Has [request] wait for tokens and asks the leader for them without delay. */
internal fun ForwardingTables.lacking(request: RequestRow, now: Timestamp, waitMillis: Long): ForwardingTables {
    val until = minOf(now + waitMillis, request.dueAt)
    val row = allowanceOf(request.organisation)
    val cost = request.head.prompt?.maximumCost ?: 0
    return withAllowance(request.organisation, row.copy(missing = row.missing + cost))
        .waitingFor(request.copy(phase = AwaitingAllowance(now, until)))
        .let { it.copy(due = it.due.plus(until, request.number), fleet = it.fleet.copy(reportAt = now)) }
}

internal fun ForwardingTables.settling(request: RequestRow, cost: Long): ForwardingTables {
    if (request.reserved == 0L) return this
    val row = allowanceOf(request.organisation)
    val settled = row.copy(reserved = row.reserved - request.reserved, settled = row.settled + cost)
    return withAllowance(request.organisation, settled)
}

internal fun ForwardingTables.withAllowance(organisation: OrganisationId?, row: AllowanceRow): ForwardingTables =
    if (organisation == null) this else copy(allowances = allowances.put(organisation, row))
