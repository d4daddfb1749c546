/**
 * Body of `POST /internal/v1/ledger`: the requests of a router session to a domain ledger. The answer is a list
 * with one ledger answer for each request, matched by attempt.
 */
package org.ibismoor.transport.api

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.SessionId
import org.ibismoor.ledger.api.LedgerRequest

@Serializable
data class LedgerBatch(val session: SessionId, val requests: List<LedgerRequest>)
