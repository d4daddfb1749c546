/**
 * Answer to `GET /internal/v1/status`: what a control process knows about the fleet.
 */
package org.ibismoor.transport.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.ibismoor.consensus.api.ConsensusMember
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.membership.api.RouterRow
import org.ibismoor.membership.api.UpstreamReport

@Serializable
data class ControlStatus(
    val replica: ReplicaId,
    val role: String,
    val leader: ReplicaId?,
    @SerialName("has_quorum") val hasQuorum: Boolean,
    val term: Long,
    @SerialName("commit_index") val commitIndex: Long,
    @SerialName("snapshot_index") val snapshotIndex: Long,
    val members: List<ConsensusMember>,
    @SerialName("control_urls") val controlUrls: List<ControlUrl>,
    /** Number of the configuration that this process has applied. */
    val configuration: Long,
    /** Number of the configuration that every live router has reported; null until there is one. */
    @SerialName("in_force") val inForce: Long?,
    @SerialName("in_force_at_ms") val inForceAtMillis: Long?,
    val routers: List<RouterRow>,
    val upstreams: List<UpstreamReport>,
)

/** Where a control replica is reached. */
@Serializable
data class ControlUrl(val replica: ReplicaId, val url: String)
