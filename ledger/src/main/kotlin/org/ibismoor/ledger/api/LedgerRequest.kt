/**
 * What a router asks of a domain ledger. Each request names the attempt that makes it; a request that is sent again
 * gets the answer of the first. Amounts are in budget tokens.
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
 * Charges [amount], at most the reservation, and frees the rest. [status] is recorded for a claimed request and
 * given to a
 * retry. With [outcome] `MAY_HAVE_RUN` the answer of claimed work was lost and the charge says so.
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

/** Frees the reservation, and the claim if there is one. The router states that no upstream ran the request whole. */
@Serializable
@SerialName("cancel")
data class Cancel(
    override val attempt: AttemptId,
    override val key: RequestKey,
) : LedgerRequest
