/**
 * Answer to `GET /internal/v1/status`: what a control process knows about the fleet.
 */
package org.ibismoor.transport.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.ibismoor.consensus.api.ConsensusMember
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.UpstreamId
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
    /** Upstreams that leave, whichever source said so first. */
    @SerialName("leaving_upstreams") val leavingUpstreams: List<UpstreamId>,
    @SerialName("domain_ledger") val domainLedger: DomainLedgerCounts,
)

/** What the ledger of the answering process's own domain holds, in rows. */
@Serializable
data class DomainLedgerCounts(
    /** Router sessions that hold the lease of their reservations. */
    val sessions: Int,
    val reservations: Int,
    val claims: Int,
    /** Charges that are not merged at the quorum yet. */
    val unmerged: Long,
)

/** Where a control replica is reached. */
@Serializable
data class ControlUrl(val replica: ReplicaId, val url: String)
