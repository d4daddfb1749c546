/**
 * Settings of a domain ledger. Times are in milliseconds; counts are numbers of rows.
 */
package org.ibismoor.ledger.api

private const val DEFAULT_SESSION_TIMEOUT_MILLIS = 6_000L
private const val DEFAULT_SHARE_WAIT_MILLIS = 500L
private const val DEFAULT_CLAIM_WAIT_MILLIS = 1_500L
private const val DEFAULT_MERGE_INTERVAL_MILLIS = 200L
private const val DEFAULT_RESEND_INTERVAL_MILLIS = 2_000L
private const val DEFAULT_IDLE_MERGE_INTERVAL_MILLIS = 60_000L
private const val DEFAULT_REQUEST_INTERVAL_MILLIS = 200L
private const val DEFAULT_EXHAUSTED_HOLD_MILLIS = 1_000L
private const val DEFAULT_DEMAND_WINDOW_MILLIS = 10_000L
private const val DEFAULT_MAXIMUM_BATCH_SIZE = 1_000
private const val DEFAULT_MAXIMUM_RERUNS = 3
private const val DEFAULT_CHARGE_RETENTION_MILLIS = 900_000L
private const val DEFAULT_CLAIM_RETENTION_MILLIS = 90_000_000L
private const val DEFAULT_MAXIMUM_KEY_AGE_MILLIS = 86_400_000L
private const val DEFAULT_MAXIMUM_ROWS = 1_000_000L

/**
 * A session expires after [sessionTimeoutMillis] without contact. A request waits up to [shareWaitMillis] for a larger
 * share and up to [claimWaitMillis] for the quorum to decide on its claim. Batches go to the quorum every
 * [mergeIntervalMillis], or every [idleMergeIntervalMillis] if there is nothing to merge; a batch without an answer is
 * sent again after [resendIntervalMillis]. [requestIntervalMillis] is the minimum time between two urgent requests for
 * the same share. The answer that a budget is exhausted holds for [exhaustedHoldMillis], so that requests of one
 * organisation that are refused do not delay the batches of others. Demand is counted over [demandWindowMillis].
 */
data class DomainLedgerSettings(
    val sessionTimeoutMillis: Long = DEFAULT_SESSION_TIMEOUT_MILLIS,
    val shareWaitMillis: Long = DEFAULT_SHARE_WAIT_MILLIS,
    val claimWaitMillis: Long = DEFAULT_CLAIM_WAIT_MILLIS,
    val mergeIntervalMillis: Long = DEFAULT_MERGE_INTERVAL_MILLIS,
    val resendIntervalMillis: Long = DEFAULT_RESEND_INTERVAL_MILLIS,
    val idleMergeIntervalMillis: Long = DEFAULT_IDLE_MERGE_INTERVAL_MILLIS,
    val requestIntervalMillis: Long = DEFAULT_REQUEST_INTERVAL_MILLIS,
    val exhaustedHoldMillis: Long = DEFAULT_EXHAUSTED_HOLD_MILLIS,
    val demandWindowMillis: Long = DEFAULT_DEMAND_WINDOW_MILLIS,
    val maximumBatchSize: Int = DEFAULT_MAXIMUM_BATCH_SIZE,
    val maximumReruns: Int = DEFAULT_MAXIMUM_RERUNS,
    val chargeRetentionMillis: Long = DEFAULT_CHARGE_RETENTION_MILLIS,
    val claimRetentionMillis: Long = DEFAULT_CLAIM_RETENTION_MILLIS,
    val maximumKeyAgeMillis: Long = DEFAULT_MAXIMUM_KEY_AGE_MILLIS,
    val maximumCharges: Long = DEFAULT_MAXIMUM_ROWS,
    val maximumClaims: Long = DEFAULT_MAXIMUM_ROWS,
)
