/**
 * Decisions on reserve and extend requests.
 */
package org.ibismoor.ledger.internal

import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.ledger.api.Extend
import org.ibismoor.ledger.api.HomedKey
import org.ibismoor.ledger.api.ReservationRecord
import org.ibismoor.ledger.api.ReservationRow
import org.ibismoor.ledger.api.Reserve
import org.ibismoor.ledger.api.Reserved

internal fun decideReserve(work: LedgerWork, request: Reserve): Decision {
    val answer = checkReserve(work, request)
    val isNew = answer == null && request.key !in work.tables.durable.charges
    return when {
        answer != null -> Decision(work, answer)
        isNew -> admitReserve(work.countDemand(request.budget, request.amount), request)
        else -> admitReserve(work, request)
    }
}

/** Decides a request that has passed [checkReserve]. */
internal fun admitReserve(work: LedgerWork, request: Reserve): Decision {
    val wanted = additionalTokens(work, request)
    return when {
        request.key in work.tables.durable.charges -> reserveRerun(work, request)
        wanted > work.tables.availableTokens(request.budget) -> waitForShare(work, request, request.budget, wanted)
        request.isClaim && HomedKey.parse(request.key.key) == null -> waitForClaim(work, request)
        else -> openReservation(work, request)
    }
}

/** Tokens needed beyond those of the open reservation of the same key that the new one replaces. */
internal fun additionalTokens(work: LedgerWork, request: Reserve): Long {
    val replaced = work.tables.durable.reservations[request.key]?.takeIf { it.budget == request.budget }
    return request.amount - (replaced?.amount ?: 0)
}

/** Requires that the tokens are available. */
internal fun openReservation(work: LedgerWork, request: Reserve): Decision {
    val record = ReservationRecord(
        attempt = request.attempt,
        key = request.key,
        budget = request.budget,
        amount = request.amount,
        body = request.body,
        isClaim = request.isClaim,
        madeAt = work.wallTime,
    )
    return Decision(work.appendRecord(record).queueNeedIfLow(request.budget), Reserved(request.attempt, request.amount))
}

private fun reserveRerun(work: LedgerWork, request: Reserve): Decision {
    val record = ReservationRecord(
        attempt = request.attempt,
        key = request.key,
        budget = request.budget,
        amount = 0,
        body = request.body,
        isClaim = false,
        madeAt = work.wallTime,
        isRerun = true,
    )
    return Decision(work.appendRecord(record), Reserved(request.attempt, request.amount, isRerun = true))
}

internal fun decideExtend(work: LedgerWork, request: Extend): Decision {
    val open = work.tables.durable.reservations[request.key]?.takeIf { it.attempt == request.attempt }
    return if (open == null) {
        Decision(work, request.refusal(RefusalReason.SESSION_EXPIRED, Outcome.MAY_HAVE_RUN))
    } else {
        extendReservation(work, request, open)
    }
}

private fun extendReservation(work: LedgerWork, request: Extend, open: ReservationRow): Decision {
    val wanted = request.amount - open.amount
    return when {
        open.isRerun -> Decision(work, Reserved(request.attempt, request.amount, isRerun = true))
        wanted <= 0 -> Decision(work, Reserved(request.attempt, open.amount))
        wanted > work.tables.availableTokens(open.budget) -> waitForShare(work, request, open.budget, wanted)
        else -> raiseReservation(work.countDemand(open.budget, wanted), request, open)
    }
}

private fun raiseReservation(work: LedgerWork, request: Extend, open: ReservationRow): Decision {
    val record = ReservationRecord(
        attempt = request.attempt,
        key = request.key,
        budget = open.budget,
        amount = request.amount,
        body = open.body,
        isClaim = open.isClaim,
        madeAt = work.wallTime,
    )
    return Decision(work.appendRecord(record).queueNeedIfLow(open.budget), Reserved(request.attempt, request.amount))
}
