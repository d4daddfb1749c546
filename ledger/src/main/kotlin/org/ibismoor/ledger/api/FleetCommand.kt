/**
 * A command of the replicated log, which every control replica applies to its fleet tables with the same result.
 */
package org.ibismoor.ledger.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.ibismoor.configuration.api.ConfigurationDelta
import org.ibismoor.core.api.AttemptId
import org.ibismoor.core.api.BodyDigest
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.RequestKey
import org.ibismoor.core.api.WallTime

@Serializable
sealed interface FleetCommand

/** Publishes the configuration of [delta]. [digest] identifies the complete content that the operator sent. */
@Serializable
@SerialName("publish")
data class Publish(val delta: ConfigurationDelta, val digest: String) : FleetCommand

/**
 * Charges and counters of one replica. The charges of a replica are numbered from 1 in the order in which they were
 * made. [sequence] is the number of the last one in this batch, so a charge that is sent again is recognised in any
 * batch. All charges made before [through] are in this batch or an earlier one.
 */
@Serializable
@SerialName("merge")
data class MergeCharges(
    val replica: ReplicaId,
    val sequence: Long,
    val charges: List<ChargeRow>,
    val counters: List<ShareReport>,
    val through: WallTime = WallTime(0),
) : FleetCommand

/** Moves tokens from the pool to shares. An issue is limited to the tokens in the pool. */
@Serializable
@SerialName("issue")
data class IssueShares(val issues: List<ShareIssue>) : FleetCommand

/** Claims a plain key for [attempt]. */
@Serializable
@SerialName("claim")
data class ClaimKey(
    val key: RequestKey,
    val attempt: AttemptId,
    val body: BodyDigest,
    val claimedAt: WallTime,
) : FleetCommand

/** Records that the claimed request has run, and the status of its answer. */
@Serializable
@SerialName("complete_claim")
data class CompleteClaim(val key: RequestKey, val attempt: AttemptId, val status: Int) : FleetCommand

/** Releases a claim whose attempt was not dispatched. */
@Serializable
@SerialName("release_claim")
data class ReleaseClaim(val key: RequestKey, val attempt: AttemptId) : FleetCommand

/** Writes off the shares of [old] after its disk was lost. */
@Serializable
@SerialName("replace_replica")
data class ReplaceReplica(val old: ReplicaId, val new: ReplicaId) : FleetCommand
