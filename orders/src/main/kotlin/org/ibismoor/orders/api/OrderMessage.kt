/**
 * What drives orders beside the passing of time.
 */
package org.ibismoor.orders.api

import org.ibismoor.configuration.api.Placement
import org.ibismoor.configuration.api.Upstream
import org.ibismoor.core.api.UpstreamId

sealed interface OrderMessage

/** This replica became the leader, which alone tries to hold the lease, or stopped being it. */
data class LeadershipObserved(val isLeading: Boolean) : OrderMessage

/** The declared upstreams changed; null for one that is declared no more. */
data class UpstreamsDeclared(val changed: Map<UpstreamId, Upstream?>) : OrderMessage

/** A grant was committed and applied. */
data class LeaseApplied(val lease: OrderLease) : OrderMessage

/** An upstream says what it serves. */
data class PlacementReported(val upstream: UpstreamId, val placement: Placement?) : OrderMessage

/** The answer to an order, or that there was none. */
data class OrderAnswered(val upstream: UpstreamId, val number: Long, val answer: OrderAnswer) : OrderMessage
