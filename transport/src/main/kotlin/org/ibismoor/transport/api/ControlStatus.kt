/**
 * Answer to `GET /internal/v1/status`: the state of the fleet as one control process has it.
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
    /** Upstreams that are leaving according to any source. */
    @SerialName("leaving_upstreams") val leavingUpstreams: List<UpstreamId>,
    @SerialName("domain_ledger") val domainLedger: DomainLedgerCounts,
)

/** Row counts of the ledger of the answering process's own domain. */
@Serializable
data class DomainLedgerCounts(
    /** Router sessions whose contact keeps their reservations alive. */
    val sessions: Int,
    val reservations: Int,
    val claims: Int,
    /** Charges not yet merged at the quorum. */
    val unmerged: Long,
)

/** URL of a control replica. */
@Serializable
data class ControlUrl(val replica: ReplicaId, val url: String)
