/**
 * What a router's decisions ask of its process.
 */
package org.ibismoor.forwarding.api

import kotlinx.collections.immutable.PersistentMap
import org.ibismoor.coordination.api.RouterReport
import org.ibismoor.coordination.api.UpstreamEntry
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.UpstreamId

sealed interface ForwardingEffect

/** Send the request to [upstream] as attempt number [attempt]. An earlier attempt is ended first. */
data class SendAttempt(
    val number: RequestNumber,
    val attempt: Int,
    val upstream: UpstreamEntry,
    val terms: AttemptTerms,
) : ForwardingEffect

/** What an upstream is told with a request, and how long the router waits for it. Times are in milliseconds. */
data class AttemptTerms(
    val organisation: OrganisationId?,
    val priority: Int,
    val remainingMillis: Long,
    val isStream: Boolean,
    /** The attempt is given up without an answer or first event for this long; null waits until the deadline. */
    val firstAnswerTimeoutMillis: Long?,
    /** The same between two events. */
    val stallTimeoutMillis: Long?,
    val maximumConnections: Int,
)

/** Answer the request with a refusal, or break off the answer if it has begun. */
data class RefuseRequest(
    val number: RequestNumber,
    val reason: RefusalReason,
    val outcome: Outcome,
    val retryAfterMillis: Long?,
) : ForwardingEffect

/** Give the caller the failure that the upstream answered. */
data class ForwardFailure(val number: RequestNumber) : ForwardingEffect

/** End the attempt under way; nobody waits for it. */
data class CancelAttempt(val number: RequestNumber) : ForwardingEffect

/** Send a report to the control process of [host]. */
data class SendReport(val host: String, val report: RouterReport) : ForwardingEffect

/** Ask the router at [address] for tokens; [LoanReceived] brings them. */
data class RequestLoan(val address: String, val organisation: OrganisationId, val tokens: Long) : ForwardingEffect

/** Answers [LoanRequested]. */
data class AnswerLoan(val replyId: Long, val tokens: Long) : ForwardingEffect

/** Tell the routers at [addresses] which prompt tokens of the router at [from] upstreams have still to read. */
data class SendLoadNotice(
    val addresses: List<String>,
    val from: String,
    val pendingPromptTokens: PersistentMap<UpstreamId, Long>,
) : ForwardingEffect

/** A configuration is in force at this router. */
data class ApplyConfiguration(val configuration: ForwardingConfiguration) : ForwardingEffect

/** A decision for the log. */
data class LogDecision(val decision: Decision) : ForwardingEffect
