/**
 * Rows of the exchanges, publications, calls and streams of a running scenario.
 */
package org.ibismoor.scenario.internal

import org.ibismoor.configuration.api.ConfigurationTables
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.RouterId
import org.ibismoor.core.api.SessionId
import org.ibismoor.core.api.Timestamp
import org.ibismoor.ledger.api.LedgerRequest
import org.ibismoor.routing.api.LedgerAuthority
import org.ibismoor.scenario.api.Call

/** An exchange whose requester waits for the answer of a control process. */
internal sealed interface PendingExchange

/** A router waits for the answer to a ledger request. */
internal data class PendingLedgerRequest(
    val router: RouterId,
    val session: SessionId,
    val request: LedgerRequest,
    val authority: LedgerAuthority,
) : PendingExchange

/** A router waits for the answer to its heartbeat. */
internal data class PendingHeartbeat(val router: RouterId, val session: SessionId, val domain: FailureDomainId) :
    PendingExchange

/** A control process waits for the result of a command that it forwarded. */
internal data class PendingForward(val domain: FailureDomainId, val forward: Long) : PendingExchange

/** An operator waits for the answer to a publication. */
internal data class PendingPublication(val publication: Long) : PendingExchange

/** A publication that an operator resends until it is answered. */
internal data class PublicationRow(
    val configuration: ConfigurationTables,
    val digest: String,
    val isAnswered: Boolean = false,
    /** Exchange of the latest attempt. Only its answer and its timeout lead to another attempt. */
    val reply: Long? = null,
)

/** A call of a caller. [stream] is its attempt in progress, or null between attempts. */
internal data class CallRow(
    val call: Call,
    val domain: FailureDomainId,
    val attempts: Int = 0,
    val stream: Long? = null,
    val isAnswered: Boolean = false,
    val answeredAt: Timestamp? = null,
    val refusals: List<Refusal> = emptyList(),
)

/** A refusal that a caller received. */
internal data class Refusal(val reason: RefusalReason, val outcome: Outcome)

/** One attempt of a call at a router. */
internal data class StreamRow(
    val call: Long,
    val router: RouterId,
    val session: SessionId,
    val isCancelled: Boolean = false,
)
