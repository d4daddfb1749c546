/**
 * Answer to a router's report. Only the leader answers with content; parts that the router holds already are left out.
 */
package org.ibismoor.coordination.api

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.ReplicaId

@Serializable
data class ReportAnswer(
    val isLeading: Boolean,
    /** Replica to report to, if it is known. */
    val leader: ReplicaId?,
    val replicas: List<ReplicaId>,
    /** The version in force at the leader; 0 without a configuration. */
    val configurationVersion: Long = 0,
    val configuration: PublishedConfiguration? = null,
    val upstreams: UpstreamList? = null,
    /** Ready routers, or null while the leader does not know them yet. */
    val routers: List<RouterEntry>? = null,
    val allowances: List<AllowanceUpdate> = emptyList(),
)
