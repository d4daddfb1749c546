/**
 * Effects: what the router process has to do as the result of a decision.
 */
package org.ibismoor.forwarding.api

import kotlinx.collections.immutable.PersistentMap
import org.ibismoor.coordination.api.RouterReport
import org.ibismoor.coordination.api.UpstreamEntry
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.StreamDigest
import org.ibismoor.core.api.UpstreamId

sealed interface ForwardingEffect

/**
 * Send the request to [upstream] as attempt number [attempt]. With [silence], the number of an [AttemptSilent], it is
 * sent only if the earlier attempt is still silent, which goes on until either of the two has an answer.
 */
data class SendAttempt(
    val number: RequestNumber,
    val attempt: Int,
    val upstream: UpstreamEntry,
    val terms: AttemptTerms,
    val silence: Int? = null,
) : ForwardingEffect

/** Metadata that an upstream receives with a request, and the timeouts of the attempt in milliseconds. */
data class AttemptTerms(
    val organisation: OrganisationId?,
    val priority: Int,
    val remainingMillis: Long,
    val isStream: Boolean,
    /** Time without an answer or first event after which the attempt is reported as silent; null if it never is. */
    val firstAnswerTimeoutMillis: Long?,
    /** The same between two events of a stream. */
    val stallTimeoutMillis: Long?,
    val maximumConnections: Int,
)

/** Answer the request with a refusal, or abort the answer if it has started. */
data class RefuseRequest(
    val number: RequestNumber,
    val reason: RefusalReason,
    val outcome: Outcome,
    val retryAfterMillis: Long?,
) : ForwardingEffect

/** Forward the failure answer of the upstream to the caller. */
data class ForwardFailure(val number: RequestNumber) : ForwardingEffect

/** Cancel the attempt in flight, since its caller has disconnected. */
data class CancelAttempt(val number: RequestNumber) : ForwardingEffect

/** Send a report to the control process on [host]. */
data class SendReport(val host: String, val report: RouterReport) : ForwardingEffect

/** Request tokens from the router at [address]. A loan is posted as [LoanReceived]. */
data class RequestLoan(val address: String, val organisation: OrganisationId, val tokens: Long) : ForwardingEffect

/** Answer the [LoanRequested] message with the same [replyId]; 0 [tokens] refuse the loan. */
data class AnswerLoan(val replyId: Long, val tokens: Long) : ForwardingEffect

/** Report to the routers at [addresses] the pending prompt tokens that the router at [from] has at each upstream. */
data class SendLoadNotice(
    val addresses: List<String>,
    val from: String,
    val pendingPromptTokens: PersistentMap<UpstreamId, Long>,
) : ForwardingEffect

/** Ask the routers at [addresses] for their contact with the leader. Answers are posted as [ContactAnswered]. */
data class AskContact(val addresses: List<String>) : ForwardingEffect

/** Ask the routers at [addresses] for the origins of [streams]. An answer is posted as [OriginsAnswered]. */
data class AskOrigins(val addresses: List<String>, val streams: List<StreamDigest>) : ForwardingEffect

/** Fetch the configuration of [version], or a newer one, from the control process on [host]. */
data class FetchConfiguration(val version: Long, val host: String) : ForwardingEffect

/** Apply the configuration that is now in force at this router. */
data class ApplyConfiguration(val configuration: ForwardingConfiguration) : ForwardingEffect

/** Close up to [perSecond] connections a second after an answer, so that their callers move to other routers. */
data class MoveCallers(val perSecond: Int) : ForwardingEffect

/** Write a decision to the log. */
data class LogDecision(val decision: Decision) : ForwardingEffect
