/**
 * An open reservation of a request key at a domain ledger. A rerun of a charged request holds no tokens.
 */
package org.ibismoor.ledger.api

import kotlinx.serialization.Serializable
import org.ibismoor.core.api.AttemptId
import org.ibismoor.core.api.BodyDigest
import org.ibismoor.core.api.BudgetId

@Serializable
data class ReservationRow(
    val attempt: AttemptId,
    val budget: BudgetId,
    val amount: Long,
    val body: BodyDigest,
    val isClaim: Boolean,
    val isRerun: Boolean = false,
)
