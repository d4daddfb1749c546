/**
 * The reservation of a stream at a domain ledger, as seen by this router.
 */
package org.ibismoor.routing.api

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashSetOf
import org.ibismoor.core.api.AttemptId
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.Timestamp
import org.ibismoor.ledger.api.LedgerRequest

/**
 * [amount] is in budget tokens. [pending] is the ledger request without an answer: [requestSentAt] is when it was last
 * sent, [resendAt] when it is due again, and [waitingSince] when the router began to wait. [refusedBy] are the ledgers
 * that could not take the reservation. [isRenewed] is true if it replaces one that the ledger had ended.
 */
data class StreamReservation(
    val attempt: AttemptId,
    val authority: FailureDomainId,
    val amount: Long,
    val pending: LedgerRequest?,
    val requestSentAt: Timestamp,
    val resendAt: Timestamp,
    val waitingSince: Timestamp,
    val isHeld: Boolean = false,
    val isRerun: Boolean = false,
    val isRenewed: Boolean = false,
    val refusedBy: PersistentSet<FailureDomainId> = NO_AUTHORITIES,
) {
    internal companion object {
        val NO_AUTHORITIES: PersistentSet<FailureDomainId> = persistentHashSetOf()
    }
}
