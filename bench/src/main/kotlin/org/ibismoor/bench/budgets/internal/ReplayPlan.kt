/**
 * One run. Demand lasts [EDGE_MILLIS] before the partition, through it and as long after it. [BUDGETS] budgets get
 * [FIRST_GRANT_PERCENT] of their mean demand at the start and the rest as a top-up in the middle of the run, on the
 * side of the quorum. Amounts are in budget tokens.
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
    val isFull: Boolean get() = deployment.reservation == ReservationMode.FULL
    val cutAt: Long get() = EDGE_MILLIS
    val cutEnd: Long get() = EDGE_MILLIS + partitionMillis
    val topUpAt: Long get() = EDGE_MILLIS + partitionMillis / 2
    val demandEnd: Long get() = cutEnd + EDGE_MILLIS
    val end: Long get() = demandEnd + DRAIN_MILLIS
    val granted: Long get() = demandEnd / CALL_INTERVAL_MILLIS * MEAN_TOKENS
    val firstGrant: Long get() = granted * FIRST_GRANT_PERCENT / HUNDRED

    companion object {
        const val BUDGETS = 4
        const val EDGE_MILLIS = 30_000L
        const val DRAIN_MILLIS = 20_000L
        const val HUNDRED = 100L
        const val FIRST_GRANT_PERCENT = 60L

        /** Mean time between two calls on one budget. */
        const val CALL_INTERVAL_MILLIS = 500L
        const val LEAST_TOKENS = 100L
        const val MOST_TOKENS = 650L
        const val MEAN_TOKENS = (LEAST_TOKENS + MOST_TOKENS) / 2

        /** Prompt bytes and max_tokens of a call that uses at most [MOST_TOKENS]. */
        const val FULL_RESERVATION = 2_000L

        /** Nine of ten answers use fewer tokens. */
        const val EXPECTED_RESERVATION = 595L
    }
}
