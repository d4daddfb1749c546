/**
 * Request of a router to a domain ledger. Each request names its attempt; a request that is sent again gets the same
 * answer. Amounts are in budget tokens.
 */
package org.ibismoor.ledger.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.ibismoor.core.api.AttemptId
import org.ibismoor.core.api.BodyDigest
import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RequestKey

@Serializable
sealed interface LedgerRequest {
    val attempt: AttemptId
    val key: RequestKey
}

/**
 * Reserves [amount] before dispatch. With [isClaim] the key is also claimed, so that no other attempt may run the
 * request.
 */
@Serializable
@SerialName("reserve")
data class Reserve(
    override val attempt: AttemptId,
    override val key: RequestKey,
    val budget: BudgetId,
    val amount: Long,
    val body: BodyDigest,
    val isClaim: Boolean,
) : LedgerRequest

/** Raises the reservation of a running attempt to [amount] in total. */
@Serializable
@SerialName("extend")
data class Extend(
    override val attempt: AttemptId,
    override val key: RequestKey,
    val amount: Long,
) : LedgerRequest

/**
 * Charges [amount], at most the reserved amount, and frees the rest. The [status] of a claimed request is recorded and
 * given to retries. The [outcome] `MAY_HAVE_RUN` means that the answer to claimed work was lost; it is recorded with
 * the charge.
 */
@Serializable
@SerialName("settle")
data class Settle(
    override val attempt: AttemptId,
    override val key: RequestKey,
    val amount: Long,
    val status: Int,
    val outcome: Outcome = Outcome.RAN,
) : LedgerRequest

/** Releases the reservation and the claim, if any. The router asserts that no upstream ran the whole request. */
@Serializable
@SerialName("cancel")
data class Cancel(
    override val attempt: AttemptId,
    override val key: RequestKey,
) : LedgerRequest
