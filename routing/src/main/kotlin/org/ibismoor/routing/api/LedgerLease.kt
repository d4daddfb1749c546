/**
 * Reservation of a stream at a domain ledger, as far as this router knows. [pending] is the ledger request without an
 * answer, [askedAt] when it was last sent, [resendAt] when it is sent again, and [since] when the router began to
 * wait. [refusedBy] are the ledgers that could not take the reservation. Amounts are in budget tokens.
 */
package org.ibismoor.routing.api

import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashSetOf
import org.ibismoor.core.api.AttemptId
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.Timestamp
import org.ibismoor.ledger.api.LedgerRequest

data class LedgerLease(
    val attempt: AttemptId,
    val authority: FailureDomainId,
    val amount: Long,
    val pending: LedgerRequest?,
    val askedAt: Timestamp,
    val resendAt: Timestamp,
    val since: Timestamp,
    val isHeld: Boolean = false,
    val isRerun: Boolean = false,
    val refusedBy: PersistentSet<FailureDomainId> = NOBODY,
) {
    internal companion object {
        val NOBODY: PersistentSet<FailureDomainId> = persistentHashSetOf()
    }
}
