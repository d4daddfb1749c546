/**
 * A reservation that no stream uses any more, with the ledger request that ends it.
 */
package org.ibismoor.routing.api

import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.Timestamp
import org.ibismoor.ledger.api.LedgerRequest

/**
 * [request] is sent again at [due] until the ledger answers or the session there has expired; a ledger ends the
 * reservations of an expired session itself.
 */
data class AbandonedReservationRow(
    val stream: StreamId,
    val authority: FailureDomainId,
    val request: LedgerRequest,
    val abandonedAt: Timestamp,
    val due: Timestamp,
)
