/**
 * Settings of one run. Demand starts [DEMAND_MARGIN_MILLIS] before the partition and ends as long after it. Each of
 * [BUDGET_COUNT] budgets gets [FIRST_GRANT_PERCENT] of its mean demand at the start and the rest as a top-up in the
 * middle of the run, published on the side of the quorum. Amounts are in budget tokens.
 */
package org.ibismoor.bench.budgets.internal

import org.ibismoor.configuration.api.ReservationMode
import org.ibismoor.ledger.api.ShareSizingPolicy

internal data class ReplayPlan(
    val deployment: Deployment,
    val skew: DemandSkew,
    val partitionMillis: Long,
    val sizing: SizingChoice,
    val seed: Long,
    val heldBackPerMille: Int = deployment.heldBackPerMille,
) {
    val policy: ShareSizingPolicy get() = sizing.policy
    val isReservationFull: Boolean get() = deployment.reservation == ReservationMode.FULL
    val partitionStartMillis: Long get() = DEMAND_MARGIN_MILLIS
    val partitionEndMillis: Long get() = DEMAND_MARGIN_MILLIS + partitionMillis
    val topUpMillis: Long get() = DEMAND_MARGIN_MILLIS + partitionMillis / 2
    val demandEndMillis: Long get() = partitionEndMillis + DEMAND_MARGIN_MILLIS
    val endMillis: Long get() = demandEndMillis + DRAIN_MILLIS
    val grantedTokens: Long get() = demandEndMillis / CALL_INTERVAL_MILLIS * MEAN_CALL_TOKENS
    val firstGrantTokens: Long get() = grantedTokens * FIRST_GRANT_PERCENT / PERCENT

    companion object {
        const val BUDGET_COUNT = 4
        const val DEMAND_MARGIN_MILLIS = 30_000L
        const val DRAIN_MILLIS = 20_000L
        const val PERCENT = 100L
        const val FIRST_GRANT_PERCENT = 60L

        /** Mean time between two calls on one budget. */
        const val CALL_INTERVAL_MILLIS = 500L
        const val MIN_CALL_TOKENS = 100L
        const val MAX_CALL_TOKENS = 650L
        const val MEAN_CALL_TOKENS = (MIN_CALL_TOKENS + MAX_CALL_TOKENS) / 2

        /** Prompt bytes and max_tokens of a call that uses at most [MAX_CALL_TOKENS]. */
        const val FULL_RESERVATION_TOKENS = 2_000L

        /** The 90th percentile of the tokens that a call uses. */
        const val EXPECTED_RESERVATION_TOKENS = 595L
    }
}
