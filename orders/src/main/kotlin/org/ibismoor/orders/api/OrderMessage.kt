/**
 * Inputs of the order machine other than the passing of time.
 */
package org.ibismoor.orders.api

import org.ibismoor.configuration.api.Placement
import org.ibismoor.configuration.api.Upstream
import org.ibismoor.core.api.UpstreamId

sealed interface OrderMessage

/** This replica became or stopped being the leader. Only the leader requests the lease. */
data class LeadershipObserved(val isLeading: Boolean) : OrderMessage

/** The declared upstreams changed; null for an upstream that is no longer declared. */
data class UpstreamsDeclared(val changed: Map<UpstreamId, Upstream?>) : OrderMessage

/** A lease was committed and applied. */
data class LeaseApplied(val lease: OrderLease) : OrderMessage

/** An upstream reported its placement, or that it has none. */
data class PlacementReported(val upstream: UpstreamId, val placement: Placement?) : OrderMessage

/** An order was answered, failed or timed out. */
data class OrderAnswered(val upstream: UpstreamId, val number: Long, val answer: OrderAnswer) : OrderMessage
