/**
 * What the decisions of a router ask of its process.
 */
package org.ibismoor.routing.api

import org.ibismoor.configuration.api.Priority
import org.ibismoor.configuration.api.Route
import org.ibismoor.configuration.api.Upstream
import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.RequestKey
import org.ibismoor.ledger.api.LedgerRequest

sealed interface RoutingEffect

/** Send a request to a domain ledger. Requests to the same authority may travel in one batch. */
data class SendLedgerRequest(val authority: LedgerAuthority, val request: LedgerRequest) : RoutingEffect

/**
 * Send the request to [upstream]. The answer is cancelled when its cost reaches [costLimit] budget tokens.
 */
data class Dispatch(
    val stream: StreamId,
    val key: RequestKey,
    val route: Route,
    val upstream: Upstream,
    val priority: Priority,
    val costLimit: Long,
    val answerTokenBound: Int,
    val remainingMillis: Long,
    val isIdempotent: Boolean,
) : RoutingEffect

/** The charge is durable: pass on the held last part of the answer and its end. */
data class ReleaseAnswer(val stream: StreamId) : RoutingEffect

/** Refuse the request, or end its answer with an error if a part was passed on. */
data class RefuseRequest(
    val stream: StreamId,
    val key: RequestKey?,
    val reason: RefusalReason,
    val outcome: Outcome,
    val retryAfterMillis: Long?,
    val recordedStatus: Int? = null,
) : RoutingEffect

/** Cancel the attempt that is under way at its upstream. */
data class CancelAttempt(val stream: StreamId) : RoutingEffect

/** Count an event that operators watch: a refusal or a retry with its reason. */
data class CountEvent(val event: RoutingEvent, val reason: String) : RoutingEffect

/** Everything in flight has ended after a drain request. */
data object DrainFinished : RoutingEffect
