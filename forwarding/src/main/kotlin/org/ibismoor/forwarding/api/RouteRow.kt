/**
 * A route from a host and a path prefix to weighted upstream groups. Times are in milliseconds.
 */
package org.ibismoor.forwarding.api

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashSetOf
import org.ibismoor.core.api.RegionId
import org.ibismoor.core.api.RouteId

data class RouteRow(
    val id: RouteId,
    val host: String,
    val pathPrefix: String,
    val kind: WorkKind,
    /** Limit of the time until the complete answer. */
    val timeoutMillis: Long,
    /** Service objective for the time to the answer or to the first event of a stream. */
    val objectiveMillis: Long,
    /** 0 is the highest priority. */
    val priority: Int,
    val targets: PersistentList<RouteTarget>,
    /** Number of upstreams to which one request may be sent. */
    val maximumAttempts: Int,
    /** Callers need no API key. */
    val isPublic: Boolean,
    /** Regions whose upstreams may get the requests; empty if any may. */
    val allowedRegions: PersistentSet<RegionId> = persistentHashSetOf(),
)
