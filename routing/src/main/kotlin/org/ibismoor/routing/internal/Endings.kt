/**
 * Ends streams. Each stream ends here with exactly one [ReleaseAnswer] or [RefuseRequest], and its reservation is
 * settled, cancelled or abandoned.
 */
package org.ibismoor.routing.internal

import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.Timestamp
import org.ibismoor.ledger.api.Cancel
import org.ibismoor.ledger.api.LedgerRequest
import org.ibismoor.ledger.api.Settle
import org.ibismoor.routing.api.AbandonedReservationRow
import org.ibismoor.routing.api.AbandonedReservationTimer
import org.ibismoor.routing.api.CancelAttempt
import org.ibismoor.routing.api.CountEvent
import org.ibismoor.routing.api.LedgerAuthority
import org.ibismoor.routing.api.RefuseRequest
import org.ibismoor.routing.api.ReleaseAnswer
import org.ibismoor.routing.api.RoutingEvent
import org.ibismoor.routing.api.RoutingSettings
import org.ibismoor.routing.api.RoutingTables
import org.ibismoor.routing.api.SendLedgerRequest
import org.ibismoor.routing.api.StreamPhase
import org.ibismoor.routing.api.StreamReservation
import org.ibismoor.routing.api.StreamRow

/** Recorded with a charge whose answer was lost. */
internal const val UNKNOWN_STATUS = 0

internal const val ABANDONED_RESEND_MILLIS = 1_000L

/** Reason why a stream fails. If [outcome] is null, it is derived from the stream's row. */
internal data class Failure(
    val reason: RefusalReason,
    val outcome: Outcome? = null,
    val recordedStatus: Int? = null,
    val retryAfterMillis: Long? = null,
)

internal fun ledgerUnavailable(row: StreamRow): Failure =
    Failure(if (row.homeDomain() == null) RefusalReason.LEDGER_UNAVAILABLE else RefusalReason.HOME_UNAVAILABLE)

internal fun RoutingTables.failStream(
    settings: RoutingSettings,
    row: StreamRow,
    failure: Failure,
    now: Timestamp,
): RoutingStep {
    val outcome = combinedOutcome(row, failure.outcome)
    val refusal = RefuseRequest(
        stream = row.id,
        key = row.key,
        reason = failure.reason,
        outcome = outcome,
        retryAfterMillis = failure.retryAfterMillis,
        recordedStatus = failure.recordedStatus,
    )
    val cancelStep = if (row.phase == StreamPhase.RUNNING) step(CancelAttempt(row.id)) else step()
    return cancelStep
        .then { tables -> row.reservation?.let { tables.abandonReservation(row, it, now) } ?: tables.step() }
        .then {
            it.removeStream(row, settings.queue)
                .step(refusal, CountEvent(RoutingEvent.REFUSAL, failure.reason.code))
        }
}

internal fun RoutingTables.releaseAnswer(settings: RoutingSettings, row: StreamRow): RoutingStep =
    removeStream(row, settings.queue).step(ReleaseAnswer(row.id))

/**
 * A ledger sees only its own reservations: NOT_RUN is valid only if no attempt, here or earlier, may have run the work.
 */
private fun combinedOutcome(row: StreamRow, stated: Outcome?): Outcome {
    val own = when {
        row.phase == StreamPhase.ANSWERED -> Outcome.RAN
        row.mayHaveRun -> Outcome.MAY_HAVE_RUN
        else -> Outcome.NOT_RUN
    }
    return if (stated == null) own else maxOf(own, stated)
}

/** Ends [reservation] at its ledger, with resends until the ledger answers. [row] is the stream that used it. */
internal fun RoutingTables.abandonReservation(
    row: StreamRow,
    reservation: StreamReservation,
    now: Timestamp,
): RoutingStep {
    val request = endingRequest(row, reservation)
    val due = now + ABANDONED_RESEND_MILLIS
    val abandoned = AbandonedReservationRow(row.id, reservation.authority, request, now, due)
    return copy(
        abandonedReservations = abandonedReservations.put(reservation.attempt, abandoned),
        due = this.due.plus(due, AbandonedReservationTimer(reservation.attempt)),
    ).step(SendLedgerRequest(LedgerAuthority(reservation.authority), request))
}

/** A claim is cancelled only if no attempt under it can have started. */
private fun endingRequest(row: StreamRow, reservation: StreamReservation): LedgerRequest {
    val completion = row.completion
    return when {
        row.work.isIdempotent || !row.mayHaveStarted -> Cancel(reservation.attempt, row.key)
        completion != null ->
            Settle(reservation.attempt, row.key, completion.cost.coerceAtMost(reservation.amount), completion.status)
        else -> Settle(reservation.attempt, row.key, reservation.amount, UNKNOWN_STATUS, Outcome.MAY_HAVE_RUN)
    }
}
