/**
 * Decisions on settle and cancel requests, and the end of the reservations of an expired session.
 */
package org.ibismoor.ledger.internal

import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.RequestKey
import org.ibismoor.core.api.SessionId
import org.ibismoor.ledger.api.Cancel
import org.ibismoor.ledger.api.Cancelled
import org.ibismoor.ledger.api.ChargeRecord
import org.ibismoor.ledger.api.ChargeRow
import org.ibismoor.ledger.api.DomainChargeRow
import org.ibismoor.ledger.api.LedgerAnswer
import org.ibismoor.ledger.api.PendingStage
import org.ibismoor.ledger.api.ReleaseRecord
import org.ibismoor.ledger.api.ReservationRow
import org.ibismoor.ledger.api.Settle
import org.ibismoor.ledger.api.Settled

internal fun decideSettle(work: LedgerWork, request: Settle): Decision {
    val open = work.tables.durable.reservations[request.key]?.takeIf { it.attempt == request.attempt }
    return when {
        open == null -> Decision(work, answerToClosed(work, request))
        open.isRerun -> settleRerun(work, request)
        else -> settleReservation(work, request, open)
    }
}

private fun settleReservation(work: LedgerWork, request: Settle, open: ReservationRow): Decision {
    val amount = request.amount.coerceIn(0, open.amount)
    val charge = ChargeRow(request.key, open.budget, amount, request.outcome, work.tables.replica, work.wallTime)
    return Decision(work.appendRecord(ChargeRecord(charge, request.status)), Settled(request.attempt, amount))
}

private fun settleRerun(work: LedgerWork, request: Settle): Decision {
    val record = ReleaseRecord(request.attempt, request.key, keepsClaim = true, isSettled = true)
    return Decision(work.appendRecord(record), Settled(request.attempt, 0))
}

/** Answer to a repeated or late settle request, whose reservation is no longer open. */
private fun answerToClosed(work: LedgerWork, request: Settle): LedgerAnswer {
    val durable = work.tables.durable
    val charged = durable.charges[request.key]
    val own = charged?.takeIf { it.attempt == request.attempt && !it.isExpired }
    val isLate = charged?.attempt == request.attempt || request.attempt in durable.released
    return when {
        own != null -> Settled(request.attempt, own.charge.amount)
        durable.released[request.attempt]?.isSettled == true -> Settled(request.attempt, 0)
        isLate -> request.refusal(RefusalReason.SESSION_EXPIRED, Outcome.MAY_HAVE_RUN)
        request.key in durable.reservations -> request.refusal(RefusalReason.IN_PROGRESS, Outcome.MAY_HAVE_RUN)
        charged != null -> request.refusal(RefusalReason.ALREADY_RAN, Outcome.RAN, charged.status)
        else -> request.refusal(RefusalReason.SESSION_EXPIRED, Outcome.MAY_HAVE_RUN)
    }
}

internal fun decideCancel(work: LedgerWork, request: Cancel): Decision {
    val durable = work.tables.durable
    val charged = durable.charges[request.key]?.takeIf { it.attempt == request.attempt }
    return when {
        charged != null -> Decision(work, request.refusal(RefusalReason.ALREADY_RAN, Outcome.RAN, charged.status))
        request.attempt in durable.released -> Decision(work, Cancelled(request.attempt))
        else -> cancelReservation(work, request)
    }
}

private fun cancelReservation(work: LedgerWork, request: Cancel): Decision {
    val waiting = work.tables.pending[request.attempt]
    val isUnconfirmed = waiting?.stage == PendingStage.CLAIM ||
        work.tables.fleet.claims[request.key]?.attempt == request.attempt
    val record = ReleaseRecord(request.attempt, request.key, keepsClaim = false, isUnconfirmedClaim = isUnconfirmed)
    val answered = work.answerPending(request.attempt, request.refusal(RefusalReason.CANCELLED, Outcome.NOT_RUN))
    return Decision(answered.appendRecord(record), Cancelled(request.attempt))
}

/**
 * Ends the reservations of [session]. Idempotent work is released without a charge. Claimed work may have run, so it is
 * charged in full, and its claim stays.
 */
internal fun expireSession(work: LedgerWork, session: SessionId): LedgerWork {
    val keys = work.tables.durable.sessionKeys[session].orEmpty()
        .sortedWith(compareBy<RequestKey> { it.organisation }.thenBy { it.key })
    val ended = keys.fold(work) { w, key -> expireReservation(w, key, w.tables.durable.reservations.getValue(key)) }
    return ended.withTables(ended.tables.copy(sessions = ended.tables.sessions.remove(session)))
}

private fun expireReservation(work: LedgerWork, key: RequestKey, row: ReservationRow): LedgerWork =
    if (row.isClaim) {
        val charge =
            ChargeRow(key, row.budget, row.amount, Outcome.MAY_HAVE_RUN, work.tables.replica, work.wallTime)
        work.appendRecord(ChargeRecord(charge, DomainChargeRow.UNKNOWN_STATUS))
    } else {
        work.appendRecord(ReleaseRecord(row.attempt, key, keepsClaim = true))
    }
