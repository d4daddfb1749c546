/**
 * What a due time in the tables of a router belongs to.
 */
package org.ibismoor.routing.api

import org.ibismoor.core.api.AttemptId
import org.ibismoor.core.api.UpstreamId

sealed interface RoutingTimer

data class StreamTimer(val stream: StreamId) : RoutingTimer

data class ClosingTimer(val attempt: AttemptId) : RoutingTimer

/** The end of an ejection. */
data class UpstreamTimer(val upstream: UpstreamId) : RoutingTimer
