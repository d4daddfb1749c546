/**
 * The right to send orders to upstreams, as the replicated log knows it. [number] grows with every grant and is the
 * fencing number of the orders sent under it. Times are not in the log: the holder counts [durationMillis] from the
 * moment it proposed the grant, everyone else from the moment it applied the grant, which is later.
 */
package org.ibismoor.orders.api

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.ReplicaId

@Serializable
data class OrderLease(val number: Long, val holder: ReplicaId, val durationMillis: Long)
