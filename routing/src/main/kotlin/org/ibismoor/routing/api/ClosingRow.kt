/**
 * A ledger request that ends a reservation which no stream uses any more. It is sent again until it is answered or the
 * session at that ledger has expired, after which the ledger ends the reservation itself.
 */
package org.ibismoor.routing.api

import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.Timestamp
import org.ibismoor.ledger.api.LedgerRequest

data class ClosingRow(
    val stream: StreamId,
    val authority: FailureDomainId,
    val request: LedgerRequest,
    val since: Timestamp,
    val due: Timestamp,
)
