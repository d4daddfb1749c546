/**
 * Applies the quorum's results of claims to the pending requests. The result of a claim whose request has been
 * refused in the meantime is ignored: the key stays claimed, which is safe.
 */
package org.ibismoor.ledger.internal

import org.ibismoor.ledger.api.Applied
import org.ibismoor.ledger.api.ClaimKey
import org.ibismoor.ledger.api.ClaimRefused
import org.ibismoor.ledger.api.FleetResult
import org.ibismoor.ledger.api.PendingStage
import org.ibismoor.ledger.api.Reserve

/** Without a [result] the claim may or may not be committed, so it is proposed again until the request times out. */
internal fun LedgerWork.applyClaimResult(command: ClaimKey, result: FleetResult?): LedgerWork {
    val row = tables.pending[command.attempt]?.takeIf { it.stage == PendingStage.CLAIM } ?: return this
    val request = row.request as Reserve
    return when (result) {
        Applied -> confirmClaim(request)
        is ClaimRefused -> answerPending(
            command.attempt,
            request.refusal(result.reason, result.outcome, result.recordedStatus),
        )
        else -> withPending(row.copy(retryAt = now + settings.requestIntervalMillis))
    }
}

/** The tokens were set aside for the claim, so the reservation cannot fail. */
private fun LedgerWork.confirmClaim(request: Reserve): LedgerWork {
    val slots = tables.pending.getValue(request.attempt).slots
    val decision = openReservation(withoutPending(request.attempt), request)
    return decision.work.answerSlots(slots, checkNotNull(decision.answer))
}
