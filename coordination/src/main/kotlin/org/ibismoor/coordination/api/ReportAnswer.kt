/**
 * Answer to a router's report. Only the leader fills it in, except for [ReportAnswer.evacuations], and it omits a
 * configuration or upstream list that the router already has.
 */
package org.ibismoor.coordination.api

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.ReplicaId

@Serializable
data class ReportAnswer(
    val isLeading: Boolean,
    /** Replica to send reports to, if known. */
    val leader: ReplicaId?,
    val replicas: List<ReplicaId>,
    /** The version in force at the leader; 0 without a configuration. */
    val configurationVersion: Long = 0,
    /** Present only for a router that does not fetch configurations. */
    val configuration: PublishedConfiguration? = null,
    val upstreams: UpstreamList? = null,
    /** Routers that callers are sent to, or null while a new leader is still collecting reports. */
    val routers: List<RouterEntry>? = null,
    val allowances: List<AllowanceUpdate> = emptyList(),
    /** Null if the leader has nothing to say on prompt parts. */
    val prompts: QuarantineUpdate? = null,
    /** Null if the leader has nothing to say on requests that crash upstreams. */
    val requests: RequestQuarantineUpdate? = null,
    /** An answer to each question of the report on the beginning of a stream. */
    val streams: List<StreamAnswer> = emptyList(),
    /** Null from an observer, and from a replica of an earlier release. */
    val evacuations: EvacuationList? = null,
)
