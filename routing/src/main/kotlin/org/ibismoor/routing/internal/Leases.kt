/**
 * Ledger requests of a stream: reserve, extend, settle, send again, move to another ledger.
 */
package org.ibismoor.routing.internal

import org.ibismoor.core.api.AttemptId
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.Timestamp
import org.ibismoor.ledger.api.Extend
import org.ibismoor.ledger.api.LedgerRequest
import org.ibismoor.ledger.api.Reserve
import org.ibismoor.ledger.api.Settle
import org.ibismoor.routing.api.LedgerAuthority
import org.ibismoor.routing.api.LedgerLease
import org.ibismoor.routing.api.RoutingSettings
import org.ibismoor.routing.api.RoutingTables
import org.ibismoor.routing.api.SendLedgerRequest
import org.ibismoor.routing.api.StreamPhase
import org.ibismoor.routing.api.StreamRow

internal class Leases(private val settings: RoutingSettings) {
    private val limits = settings.limits

    /** Asks for the first reservation of a stream. */
    fun reserve(tables: RoutingTables, row: StreamRow, authority: FailureDomainId, now: Timestamp): RoutingStep {
        val mode = tables.configuration.settings.reservation
        val size = tables.answerSizes[row.work.route.id]
        val amount = settings.reservation.amount(row.work, mode, size)
        return ask(tables, row, Place(authority, amount, now), now)
    }

    /** Gives up the ledger that did not answer or refused, and reserves at [authority] instead. */
    fun move(tables: RoutingTables, row: StreamRow, authority: FailureDomainId, now: Timestamp): RoutingStep {
        val old = checkNotNull(row.lease)
        val amount = row.completion?.cost?.coerceIn(1, row.work.costBound) ?: old.amount
        val closed = tables.closed(row, old, now)
        return closed.then { ask(it, row, Place(authority, amount, old.since), now) }
    }

    private data class Place(val authority: FailureDomainId, val amount: Long, val since: Timestamp)

    private fun ask(tables: RoutingTables, row: StreamRow, place: Place, now: Timestamp): RoutingStep {
        val attempt = AttemptId(tables.session, tables.nextAttempt)
        val work = row.work
        val request = Reserve(attempt, row.key, work.budget, place.amount, work.body, !work.isIdempotent)
        val lease = LedgerLease(
            attempt = attempt,
            authority = place.authority,
            amount = place.amount,
            pending = request,
            askedAt = now,
            resendAt = now + limits.askMillis,
            since = place.since,
            refusedBy = row.lease?.refusedBy ?: LedgerLease.NOBODY,
        )
        return tables.copy(nextAttempt = tables.nextAttempt + 1)
            .put(row.copy(lease = lease), limits)
            .step(SendLedgerRequest(LedgerAuthority(place.authority), request))
    }

    /** Sends [request] under the present reservation. */
    fun send(tables: RoutingTables, row: StreamRow, request: LedgerRequest, now: Timestamp): RoutingStep {
        val lease = checkNotNull(row.lease)
        val sent = lease.copy(pending = request, askedAt = now, resendAt = now + limits.askMillis, since = now)
        return tables.put(row.copy(lease = sent), limits)
            .step(SendLedgerRequest(LedgerAuthority(lease.authority), request))
    }

    fun resend(tables: RoutingTables, row: StreamRow, now: Timestamp): RoutingStep {
        val lease = checkNotNull(row.lease)
        val sent = lease.copy(askedAt = now, resendAt = now + limits.askMillis)
        return tables.put(row.copy(lease = sent), limits)
            .step(SendLedgerRequest(LedgerAuthority(lease.authority), checkNotNull(lease.pending)))
    }

    /** Charges a whole answer, after an extension if the answer cost more than was reserved. */
    fun settle(tables: RoutingTables, row: StreamRow, now: Timestamp): RoutingStep {
        val lease = checkNotNull(row.lease)
        val completion = checkNotNull(row.completion)
        val cost = completion.cost.coerceAtMost(row.work.costBound)
        val request = when {
            lease.isRerun -> Settle(lease.attempt, row.key, 0, completion.status)
            cost > lease.amount -> Extend(lease.attempt, row.key, cost)
            else -> Settle(lease.attempt, row.key, cost, completion.status)
        }
        return send(tables, row, request, now)
    }

    /** The ledger did not answer. The request is sent again, or the reservation moves to another ledger. */
    fun unanswered(tables: RoutingTables, row: StreamRow, isDelivered: Boolean, now: Timestamp): RoutingStep {
        val lease = checkNotNull(row.lease)
        val suspecting = tables.suspected(lease.authority)
        val other = if (mayMove(row, lease, isDelivered, now)) other(suspecting, row, lease) else null
        return when {
            isGivenUp(row, lease, now) -> suspecting.fail(settings, row, unavailable(row), now)
            other != null -> move(suspecting, row, other, now)
            now >= lease.resendAt -> resend(suspecting, row, now)
            else -> suspecting.put(row.copy(lease = lease.copy(resendAt = now + RESEND_MILLIS)), limits).step()
        }
    }

    /** The next ledger that may take the stream's reservation, or null if only its present one may. */
    fun other(tables: RoutingTables, row: StreamRow, lease: LedgerLease): FailureDomainId? =
        if (row.home() != null) {
            null
        } else {
            tables.nextAuthority(settings, lease.authority, lease.refusedBy).takeIf { it != lease.authority }
        }

    /**
     * A claim that may have reached its ledger stays there, since another ledger would take it for a second claim. A
     * charge stays for the time in which the first ledger may come back, so that few charges are made twice.
     */
    private fun mayMove(row: StreamRow, lease: LedgerLease, isDelivered: Boolean, now: Timestamp): Boolean =
        when {
            lease.pending is Reserve -> row.work.isIdempotent || !isDelivered
            else -> row.work.isIdempotent && now - lease.since >= limits.moveMillis
        }

    private fun isGivenUp(row: StreamRow, lease: LedgerLease, now: Timestamp): Boolean =
        row.phase == StreamPhase.RESERVING && now - lease.since >= limits.reserveMillis

    private companion object {
        const val RESEND_MILLIS = 100L
    }
}
