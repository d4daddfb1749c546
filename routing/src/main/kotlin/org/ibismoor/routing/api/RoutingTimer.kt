/**
 * Timers in the due queue of the routing tables.
 */
package org.ibismoor.routing.api

import org.ibismoor.core.api.AttemptId
import org.ibismoor.core.api.UpstreamId

sealed interface RoutingTimer

data class StreamTimer(val stream: StreamId) : RoutingTimer

data class AbandonedReservationTimer(val attempt: AttemptId) : RoutingTimer

/** Ends an ejection. */
data class UpstreamTimer(val upstream: UpstreamId) : RoutingTimer
