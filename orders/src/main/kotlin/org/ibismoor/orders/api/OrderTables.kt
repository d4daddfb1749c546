/**
 * State of orders at one control replica. Only the lease is shared through the replicated log; the rest is made anew
 * after a restart from what upstreams report.
 */
package org.ibismoor.orders.api

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.ibismoor.core.api.DueQueue
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamId

data class OrderTables(
    val replica: ReplicaId,
    val isLeading: Boolean = false,
    val lease: OrderLease? = null,
    val leaseAppliedAt: Timestamp,
    val proposedAt: Timestamp? = null,
    val proposedPrevious: Long = 0,
    val heldUntil: Timestamp? = null,
    val orders: PersistentMap<UpstreamId, OrderRow> = persistentHashMapOf(),
    val due: DueQueue<UpstreamId> = DueQueue.empty(),
    val loadsInFlight: Int = 0,
    val nextLoadAt: Timestamp,
)
