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

/** A reservation, with a claim if [isClaim]. */
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
) : DomainRecord

/** A charge, which ends the reservation. */
@Serializable
@SerialName("charged")
data class ChargeRecord(val charge: ChargeRow, val status: Int) : DomainRecord

/** The reservation is released without a charge; the claim stays if [keepsClaim]. */
@Serializable
@SerialName("released")
data class ReleaseRecord(val attempt: AttemptId, val key: RequestKey, val keepsClaim: Boolean) : DomainRecord

/** Tokens given back to the pool; [returned] is the cumulative counter after it. */
@Serializable
@SerialName("returned")
data class ReturnRecord(val budget: BudgetId, val returned: Long) : DomainRecord

/** Charges up to batch [sequence] are merged at the quorum. */
@Serializable
@SerialName("merged")
data class MergedRecord(val sequence: Long) : DomainRecord
