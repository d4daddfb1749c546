/**
 * A request that the router has taken and not ended.
 */
package org.ibismoor.forwarding.api

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.persistentListOf
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamGroupId
import org.ibismoor.core.api.UpstreamId

data class RequestRow(
    val number: RequestNumber,
    val head: RequestHead,
    val route: RouteRow,
    val group: UpstreamGroupId,
    val organisation: OrganisationId?,
    val priority: Int,
    val arrivedAt: Timestamp,
    /** When the request is given up. */
    val dueAt: Timestamp,
    val phase: RequestPhase,
    /** Tokens of the allowance that the request holds. */
    val reserved: Long = 0,
    /** Upstreams that have received the request, in order. */
    val tried: PersistentList<UpstreamId> = persistentListOf(),
    /** Attempts so far, including those that could not be sent. */
    val attempts: Int = 0,
    /** Attempts of which no byte was sent. */
    val unsent: Int = 0,
    /** Events that the caller has received. */
    val deliveredEvents: Int = 0,
    /** An upstream may have run the request, or has. */
    val mayHaveRun: Boolean = false,
    /** The caller has received part of the answer. */
    val isAnswerBegun: Boolean = false,
)

/** What a request waits for. */
sealed interface RequestPhase

/** Tokens that the router has asked the leader for; given up at [until]. */
data class AwaitingAllowance(val since: Timestamp, val until: Timestamp) : RequestPhase

/** An upstream. */
data object AwaitingUpstream : RequestPhase

/** The answer of [upstream] to attempt number [attempt]. */
data class Sent(
    val upstream: UpstreamId,
    val attempt: Int,
    val at: Timestamp,
    /** Prompt tokens that the upstream has to read before the first event. */
    val pendingPromptTokens: Long,
) : RequestPhase
