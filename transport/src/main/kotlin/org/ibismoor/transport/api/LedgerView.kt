/**
 * Answer to `GET /internal/v1/ledger`: budgets with their totals and the charges that this control process has, in
 * budget tokens. Until a charge is merged, only the process of its domain has it.
 */
package org.ibismoor.transport.api

import kotlinx.serialization.SerialName
import kotlinx.serialization.Serializable
import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.ledger.api.ChargeRow
import org.ibismoor.ledger.api.ShareRow

@Serializable
data class LedgerView(
    val replica: ReplicaId,
    val budgets: List<BudgetView>,
    val charges: List<ChargeView>,
)

/** Totals of one budget according to the replicated log. */
@Serializable
data class BudgetView(
    val budget: BudgetId,
    val organisation: OrganisationId?,
    val granted: Long,
    val spent: Long,
    val voided: Long,
    @SerialName("written_off") val writtenOff: Long,
    val shares: List<ShareView>,
)

/** The share of one control replica. */
@Serializable
data class ShareView(val replica: ReplicaId, val share: ShareRow)

@Serializable
data class ChargeView(val charge: ChargeRow, @SerialName("is_merged") val isMerged: Boolean)
