/**
 * Results of claims at the quorum for the requests that wait for them. The result of a claim whose request was
 * refused meanwhile is ignored: the key stays claimed, which is safe.
 */
package org.ibismoor.ledger.internal

import org.ibismoor.ledger.api.Applied
import org.ibismoor.ledger.api.ClaimKey
import org.ibismoor.ledger.api.ClaimRefused
import org.ibismoor.ledger.api.FleetResult
import org.ibismoor.ledger.api.PendingStage
import org.ibismoor.ledger.api.Reserve

/** Without a [result] the claim may be committed or not, so it is proposed again until the wait is over. */
internal fun LedgerWork.finishClaim(command: ClaimKey, result: FleetResult?): LedgerWork {
    val row = tables.pending[command.attempt]?.takeIf { it.stage == PendingStage.CLAIM } ?: return this
    val request = row.request as Reserve
    return when (result) {
        Applied -> confirmClaim(request)
        is ClaimRefused -> finishPending(
            command.attempt,
            request.refused(result.reason, result.outcome, result.recordedStatus),
        )
        else -> withPending(row.copy(retry = now + settings.askMillis))
    }
}

/** The tokens were held for the claim, so the reservation cannot fail. */
private fun LedgerWork.confirmClaim(request: Reserve): LedgerWork {
    val slots = tables.pending.getValue(request.attempt).slots
    val decision = grant(withoutPending(request.attempt), request)
    return decision.work.answer(slots, checkNotNull(decision.answer))
}
