/**
 * Refusals of ledgers that do not end an answer that runs or is complete. Its end is held back until it is charged, so
 * the router may ask again until the deadline of the request.
 */
package org.ibismoor.routing.internal

import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.Timestamp
import org.ibismoor.ledger.api.Extend
import org.ibismoor.ledger.api.Reserve
import org.ibismoor.ledger.api.Settle
import org.ibismoor.routing.api.RoutingLimits
import org.ibismoor.routing.api.RoutingTables
import org.ibismoor.routing.api.StreamPhase
import org.ibismoor.routing.api.StreamReservation
import org.ibismoor.routing.api.StreamRow

/** Refusals that concern one domain ledger only, so another one may take the work. */
internal val ledgerLocalReasons =
    setOf(RefusalReason.SHARE_EXHAUSTED, RefusalReason.STORAGE_UNAVAILABLE, RefusalReason.NOT_READY)

/** Refusals of a charge or an extension for which the ledger has no open reservation any more. */
private val endedReasons = setOf(RefusalReason.SESSION_EXPIRED, RefusalReason.IN_PROGRESS, RefusalReason.ALREADY_RAN)

/**
 * True if the ledger has ended the reservation of an answer, for example because a second attempt of the caller at
 * another router replaced it. Repeatable work then reserves once more: the ledger charges its key only once.
 */
internal fun StreamRow.canRenew(reservation: StreamReservation, reason: RefusalReason): Boolean {
    val wasOpen = reservation.pending is Extend || reservation.pending is Settle
    return work.isIdempotent && wasOpen && !reservation.isRenewed && reason in endedReasons
}

/**
 * True if the refusal shows only that this ledger lacks tokens while others cannot be reached. The reservation of an
 * answer is only moved away from a silent ledger, where its tokens are still set aside, so the budget may miss them.
 */
internal fun StreamRow.mayBeCoveredLater(reservation: StreamReservation, reason: RefusalReason): Boolean {
    val hasAnswer = phase == StreamPhase.RUNNING || phase == StreamPhase.ANSWERED
    val isMoved = reservation.pending is Reserve && reason == RefusalReason.BUDGET_EXHAUSTED
    return hasAnswer && reservation.pending !is Settle && (isMoved || reason in ledgerLocalReasons)
}

/** Keeps the refused request, which is due again after the resend time, at this ledger or at the next one. */
internal fun RoutingTables.askAgainLater(row: StreamRow, limits: RoutingLimits, now: Timestamp): RoutingTables {
    val reservation = checkNotNull(row.reservation)
    val resendAt = now + limits.ledgerResendMillis
    val waiting = reservation.copy(resendAt = resendAt, refusedBy = StreamReservation.NO_AUTHORITIES)
    return putStream(row.copy(reservation = waiting), limits)
}
