/**
 * The right to send orders to upstreams, as recorded in the replicated log. [number] increases with every lease and is
 * the fencing number of the orders sent under it. The log contains no times: the holder counts [durationMillis] from
 * its proposal of the lease, other replicas from when they applied it, which is later.
 */
package org.ibismoor.orders.api

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.ReplicaId

@Serializable
data class OrderLease(val number: Long, val holder: ReplicaId, val durationMillis: Long)
