/**
 * The tables of orders at one control replica. Only the lease is in the replicated log; the rest is rebuilt from the
 * upstreams' reports after a restart.
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
    val proposedPreviousNumber: Long = 0,
    /** End of the lease of this replica; null without one. */
    val heldUntil: Timestamp? = null,
    val orders: PersistentMap<UpstreamId, OrderRow> = persistentHashMapOf(),
    val dueQueue: DueQueue<UpstreamId> = DueQueue.empty(),
    val loadsInFlight: Int = 0,
    val nextLoadAt: Timestamp,
)
