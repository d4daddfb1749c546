/**
 * Effects that the routing decisions have the router process perform.
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

/** Sends a request to a domain ledger. Requests to the same authority may be batched. */
data class SendLedgerRequest(val authority: LedgerAuthority, val request: LedgerRequest) : RoutingEffect

/** Sends the request to [upstream] and cancels the answer when its cost reaches [costLimit] budget tokens. */
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

/** Passes on the last part of the answer, which is held back until the charge is durable, and ends the answer. */
data class ReleaseAnswer(val stream: StreamId) : RoutingEffect

/** Refuses the request, or ends its answer with an error if a part was already passed on. */
data class RefuseRequest(
    val stream: StreamId,
    val key: RequestKey?,
    val reason: RefusalReason,
    val outcome: Outcome,
    val retryAfterMillis: Long?,
    val recordedStatus: Int? = null,
) : RoutingEffect

/** Cancels the running attempt at its upstream. */
data class CancelAttempt(val stream: StreamId) : RoutingEffect

/** Increments the counter of [event] labelled with [reason]. */
data class CountEvent(val event: RoutingEvent, val reason: String) : RoutingEffect

/** Reports that no requests or reservations are left after a drain request. */
data object DrainFinished : RoutingEffect
