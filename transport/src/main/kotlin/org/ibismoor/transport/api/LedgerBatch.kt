/**
 * Body of `POST /internal/v1/ledger`: what a router session asks of a domain ledger. The answer is a list of ledger
 * answers, one for each request, matched by attempt.
 */
package org.ibismoor.transport.api

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.SessionId
import org.ibismoor.ledger.api.LedgerRequest

@Serializable
data class LedgerBatch(val session: SessionId, val requests: List<LedgerRequest>)
