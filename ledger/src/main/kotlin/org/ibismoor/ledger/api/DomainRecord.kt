/**
 * A durable record of a domain ledger. Replaying the records of a log in order restores its tables.
 */
package org.ibismoor.ledger.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.ibismoor.core.api.AttemptId
import org.ibismoor.core.api.BodyDigest
import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.RequestKey
import org.ibismoor.core.api.WallTime

@Serializable
sealed interface DomainRecord

/**
 * A reservation, also with a claim if [isClaim]. It replaces an open reservation of the same key. The rerun of a
 * charged request has [isRerun] and the amount 0.
 */
@Serializable
@SerialName("reserved")
data class ReservationRecord(
    val attempt: AttemptId,
    val key: RequestKey,
    val budget: BudgetId,
    val amount: Long,
    val body: BodyDigest,
    val isClaim: Boolean,
    val madeAt: WallTime,
    val isRerun: Boolean = false,
) : DomainRecord

/** A charge, which closes the reservation. */
@Serializable
@SerialName("charged")
data class ChargeRecord(val charge: ChargeRow, val status: Int) : DomainRecord

/**
 * The reservation is released without a charge; the claim stays if [keepsClaim]. [isUnconfirmedClaim]: the quorum has
 * not confirmed the claim yet, so the release has to be reported to it. [isSettled]: the release settles a rerun.
 */
@Serializable
@SerialName("released")
data class ReleaseRecord(
    val attempt: AttemptId,
    val key: RequestKey,
    val keepsClaim: Boolean,
    val isUnconfirmedClaim: Boolean = false,
    val isSettled: Boolean = false,
) : DomainRecord

/** Tokens returned to the pool; [returned] is the cumulative counter. */
@Serializable
@SerialName("returned")
data class ReturnRecord(val budget: BudgetId, val returned: Long) : DomainRecord

/** Charges up to number [sequence] are merged at the quorum. */
@Serializable
@SerialName("merged")
data class MergedRecord(val sequence: Long) : DomainRecord

/** The quorum has confirmed the completion or release of the claim of [key]. */
@Serializable
@SerialName("claim_reported")
data class ClaimReportedRecord(val key: RequestKey) : DomainRecord

/** Charges, claims and released attempts up to these numbers are dropped at the end of their retention. */
@Serializable
@SerialName("dropped")
data class DroppedRecord(val charges: Long, val claims: Long, val released: Long) : DomainRecord

/** First record of a compacted log: the counters that the later records continue. */
@Serializable
@SerialName("checkpoint")
data class CheckpointRecord(
    val firstCharge: Long,
    val nextCharge: Long,
    val mergedCharge: Long,
    val firstClaim: Long,
    val nextClaim: Long,
    val firstReleased: Long,
    val nextReleased: Long,
    val latestTime: WallTime,
) : DomainRecord

/** Counters of one budget in a compacted log. */
@Serializable
@SerialName("budget")
data class BudgetRecord(val budget: BudgetId, val spent: Long, val returned: Long) : DomainRecord

/** A charge that a compacted log retains under its [number]. */
@Serializable
@SerialName("kept_charge")
data class RetainedChargeRecord(val number: Long, val row: DomainChargeRow) : DomainRecord

/** A claim that a compacted log retains. */
@Serializable
@SerialName("kept_claim")
data class RetainedClaimRecord(val key: RequestKey, val row: ClaimRow) : DomainRecord

/** An open reservation that a compacted log retains. */
@Serializable
@SerialName("kept_reservation")
data class RetainedReservationRecord(val key: RequestKey, val row: ReservationRow) : DomainRecord

/** A released attempt that a compacted log retains. */
@Serializable
@SerialName("kept_release")
data class RetainedReleaseRecord(val attempt: AttemptId, val row: ReleasedRow) : DomainRecord

/** A command about a claim that the quorum has not confirmed, in a compacted log. */
@Serializable
@SerialName("kept_report")
data class RetainedReportRecord(val key: RequestKey, val command: FleetCommand) : DomainRecord
