/**
 * Ledger requests for the reservation of a stream: reserve, extend, settle, resend, and move to another ledger.
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
import org.ibismoor.routing.api.RoutingSettings
import org.ibismoor.routing.api.RoutingTables
import org.ibismoor.routing.api.SendLedgerRequest
import org.ibismoor.routing.api.StreamPhase
import org.ibismoor.routing.api.StreamReservation
import org.ibismoor.routing.api.StreamRow

internal class ReservationRequests(private val settings: RoutingSettings) {
    private val limits = settings.limits

    /** Requests the first reservation of a stream. */
    fun reserve(tables: RoutingTables, row: StreamRow, authority: FailureDomainId, now: Timestamp): RoutingStep {
        val mode = tables.configuration.settings.reservation
        val size = tables.answerSizes[row.work.route.id]
        val amount = settings.reservation.amount(row.work, mode, size)
        return sendReserve(tables, row, ReserveTarget(authority, amount, now), now)
    }

    /** Abandons the reservation at the ledger that refused or did not answer, and reserves at [authority] instead. */
    fun moveReservation(
        tables: RoutingTables,
        row: StreamRow,
        authority: FailureDomainId,
        now: Timestamp,
    ): RoutingStep {
        val old = checkNotNull(row.reservation)
        val amount = row.completion?.cost?.coerceIn(1, row.work.costBound) ?: old.amount
        val abandonStep = tables.abandonReservation(row, old, now)
        return abandonStep.then { sendReserve(it, row, ReserveTarget(authority, amount, old.waitingSince), now) }
    }

    private data class ReserveTarget(val authority: FailureDomainId, val amount: Long, val waitingSince: Timestamp)

    private fun sendReserve(tables: RoutingTables, row: StreamRow, target: ReserveTarget, now: Timestamp): RoutingStep {
        val attempt = AttemptId(tables.session, tables.nextAttempt)
        val work = row.work
        val request = Reserve(attempt, row.key, work.budget, target.amount, work.body, !work.isIdempotent)
        val reservation = StreamReservation(
            attempt = attempt,
            authority = target.authority,
            amount = target.amount,
            pending = request,
            requestSentAt = now,
            resendAt = now + limits.ledgerResendMillis,
            waitingSince = target.waitingSince,
            refusedBy = row.reservation?.refusedBy ?: StreamReservation.NO_AUTHORITIES,
            isRenewed = row.reservation?.isRenewed ?: false,
        )
        return tables.copy(nextAttempt = tables.nextAttempt + 1)
            .putStream(row.copy(reservation = reservation), limits)
            .step(SendLedgerRequest(LedgerAuthority(target.authority), request))
    }

    /** Sends [request] under the present reservation. */
    fun sendRequest(tables: RoutingTables, row: StreamRow, request: LedgerRequest, now: Timestamp): RoutingStep {
        val reservation = checkNotNull(row.reservation)
        val sent = reservation.copy(
            pending = request,
            requestSentAt = now,
            resendAt = now + limits.ledgerResendMillis,
            waitingSince = now,
        )
        return tables.putStream(row.copy(reservation = sent), limits)
            .step(SendLedgerRequest(LedgerAuthority(reservation.authority), request))
    }

    fun resendPending(tables: RoutingTables, row: StreamRow, now: Timestamp): RoutingStep {
        val reservation = checkNotNull(row.reservation)
        val sent = reservation.copy(requestSentAt = now, resendAt = now + limits.ledgerResendMillis)
        return tables.putStream(row.copy(reservation = sent), limits)
            .step(SendLedgerRequest(LedgerAuthority(reservation.authority), checkNotNull(reservation.pending)))
    }

    /** Charges a complete answer. If it cost more than the reservation holds, the reservation is extended first. */
    fun settle(tables: RoutingTables, row: StreamRow, now: Timestamp): RoutingStep {
        val reservation = checkNotNull(row.reservation)
        val completion = checkNotNull(row.completion)
        val cost = completion.cost.coerceAtMost(row.work.costBound)
        val request = when {
            reservation.isRerun -> Settle(reservation.attempt, row.key, 0, completion.status)
            cost > reservation.amount -> Extend(reservation.attempt, row.key, cost)
            else -> Settle(reservation.attempt, row.key, cost, completion.status)
        }
        return sendRequest(tables, row, request, now)
    }

    /** Resends the request to a ledger that did not answer, or moves the reservation to another ledger. */
    fun handleUnanswered(tables: RoutingTables, row: StreamRow, isDelivered: Boolean, now: Timestamp): RoutingStep {
        val reservation = checkNotNull(row.reservation)
        val withSuspicion = tables.markSuspected(reservation.authority)
        val mayMove = canMove(row, reservation, isDelivered, now)
        val other = if (mayMove) alternativeLedger(withSuspicion, row, reservation) else null
        return when {
            isReserveTimedOut(row, reservation, now) ->
                withSuspicion.failStream(settings, row, ledgerUnavailable(row), now)
            other != null -> moveReservation(withSuspicion, row, other, now)
            now >= reservation.resendAt -> resendPending(withSuspicion, row, now)
            else -> {
                val rescheduled = reservation.copy(resendAt = now + RESEND_AFTER_FAILURE_MILLIS)
                withSuspicion.putStream(row.copy(reservation = rescheduled), limits).step()
            }
        }
    }

    /** Another ledger that may take the stream's reservation, or null if only the present one may. */
    fun alternativeLedger(tables: RoutingTables, row: StreamRow, reservation: StreamReservation): FailureDomainId? =
        if (row.homeDomain() != null) {
            null
        } else {
            tables.nextAuthority(settings, reservation.authority, reservation.refusedBy)
                .takeIf { it != reservation.authority }
        }

    /**
     * A claim that may have reached its ledger stays there, since another ledger would treat it as a second claim. A
     * charge stays until the first ledger has had time to recover, so that few charges are made twice.
     */
    private fun canMove(row: StreamRow, reservation: StreamReservation, isDelivered: Boolean, now: Timestamp): Boolean =
        when {
            reservation.pending is Reserve -> row.work.isIdempotent || !isDelivered
            else -> row.work.isIdempotent && now - reservation.waitingSince >= limits.settleMoveMillis
        }

    private fun isReserveTimedOut(row: StreamRow, reservation: StreamReservation, now: Timestamp): Boolean =
        row.phase == StreamPhase.RESERVING && now - reservation.waitingSince >= limits.reserveTimeoutMillis

    private companion object {
        const val RESEND_AFTER_FAILURE_MILLIS = 100L
    }
}
