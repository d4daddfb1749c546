/**
 * Ends of streams. Each stream ends here, with exactly one release or refusal, and its reservation is settled,
 * cancelled or handed to a closing.
 */
package org.ibismoor.routing.internal

import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.Timestamp
import org.ibismoor.ledger.api.Cancel
import org.ibismoor.ledger.api.LedgerRequest
import org.ibismoor.ledger.api.Settle
import org.ibismoor.routing.api.CancelAttempt
import org.ibismoor.routing.api.ClosingRow
import org.ibismoor.routing.api.ClosingTimer
import org.ibismoor.routing.api.CountEvent
import org.ibismoor.routing.api.LedgerAuthority
import org.ibismoor.routing.api.LedgerLease
import org.ibismoor.routing.api.RefuseRequest
import org.ibismoor.routing.api.ReleaseAnswer
import org.ibismoor.routing.api.RoutingEvent
import org.ibismoor.routing.api.RoutingSettings
import org.ibismoor.routing.api.RoutingTables
import org.ibismoor.routing.api.SendLedgerRequest
import org.ibismoor.routing.api.StreamPhase
import org.ibismoor.routing.api.StreamRow

/** Status of a charge whose answer was lost. */
internal const val UNKNOWN_STATUS = 0

internal const val CLOSING_RESEND_MILLIS = 1_000L

/** Why a stream fails. An [outcome] of null means what the row knows. */
internal data class Failure(
    val reason: RefusalReason,
    val outcome: Outcome? = null,
    val recordedStatus: Int? = null,
    val retryAfterMillis: Long? = null,
)

/** The failure of a stream whose ledger cannot be reached. */
internal fun unavailable(row: StreamRow): Failure =
    Failure(if (row.home() == null) RefusalReason.LEDGER_UNAVAILABLE else RefusalReason.HOME_UNAVAILABLE)

internal fun RoutingTables.fail(
    settings: RoutingSettings,
    row: StreamRow,
    failure: Failure,
    now: Timestamp,
): RoutingStep {
    val outcome = combined(row, failure.outcome)
    val refusal = RefuseRequest(
        stream = row.id,
        key = row.key,
        reason = failure.reason,
        outcome = outcome,
        retryAfterMillis = failure.retryAfterMillis,
        recordedStatus = failure.recordedStatus,
    )
    val cancelled = if (row.phase == StreamPhase.RUNNING) step(CancelAttempt(row.id)) else step()
    return cancelled
        .then { tables -> row.lease?.let { tables.closed(row, it, now) } ?: tables.step() }
        .then { it.remove(row, settings.queue).step(refusal, CountEvent(RoutingEvent.REFUSAL, failure.reason.code)) }
}

internal fun RoutingTables.release(settings: RoutingSettings, row: StreamRow): RoutingStep =
    remove(row, settings.queue).step(ReleaseAnswer(row.id))

/** A ledger knows only its own part: "not run" holds only if no attempt of this router or before may have run it. */
private fun combined(row: StreamRow, stated: Outcome?): Outcome {
    val own = when {
        row.phase == StreamPhase.ANSWERED -> Outcome.RAN
        row.mayHaveRun -> Outcome.MAY_HAVE_RUN
        else -> Outcome.NOT_RUN
    }
    return if (stated == null) own else maxOf(own, stated)
}

/** Hands [lease] of [row] to a closing. A lease without an attempt at the ledger's side needs none. */
internal fun RoutingTables.closed(row: StreamRow, lease: LedgerLease, now: Timestamp): RoutingStep {
    val request = closingRequest(row, lease)
    val due = now + CLOSING_RESEND_MILLIS
    val closing = ClosingRow(row.id, lease.authority, request, now, due)
    return copy(
        closings = closings.put(lease.attempt, closing),
        due = this.due.plus(due, ClosingTimer(lease.attempt)),
    ).step(SendLedgerRequest(LedgerAuthority(lease.authority), request))
}

/** A claim is cancelled only if no attempt under it can have started. */
private fun closingRequest(row: StreamRow, lease: LedgerLease): LedgerRequest {
    val completion = row.completion
    return when {
        row.work.isIdempotent || !row.mayHaveStarted -> Cancel(lease.attempt, row.key)
        completion != null ->
            Settle(lease.attempt, row.key, completion.cost.coerceAtMost(lease.amount), completion.status)
        else -> Settle(lease.attempt, row.key, lease.amount, UNKNOWN_STATUS, Outcome.MAY_HAVE_RUN)
    }
}
