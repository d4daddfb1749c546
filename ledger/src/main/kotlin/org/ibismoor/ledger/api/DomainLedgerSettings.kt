/**
 * Settings of a domain ledger. Times are in milliseconds; counts are numbers of rows.
 */
package org.ibismoor.ledger.api

private const val DEFAULT_SESSION_MILLIS = 6_000L
private const val DEFAULT_SHARE_WAIT_MILLIS = 500L
private const val DEFAULT_CLAIM_WAIT_MILLIS = 1_500L
private const val DEFAULT_MERGE_MILLIS = 200L
private const val DEFAULT_RESEND_MILLIS = 2_000L
private const val DEFAULT_IDLE_MERGE_MILLIS = 60_000L
private const val DEFAULT_ASK_MILLIS = 200L
private const val DEFAULT_EXHAUSTED_MILLIS = 1_000L
private const val DEFAULT_DEMAND_MILLIS = 10_000L
private const val DEFAULT_BATCH = 1_000
private const val DEFAULT_RERUNS = 3
private const val DEFAULT_CHARGE_RETENTION = 900_000L
private const val DEFAULT_CLAIM_RETENTION = 90_000_000L
private const val DEFAULT_KEY_AGE = 86_400_000L
private const val DEFAULT_MAXIMUM_ROWS = 1_000_000L

/**
 * [sessionMillis] without contact expire a session. [shareWaitMillis] bounds the wait for a larger share and
 * [claimWaitMillis] the wait for the quorum's answer to a claim. [mergeMillis] is the time between batches to the
 * quorum, [resendMillis] the time after which an unanswered batch is sent again, and [idleMergeMillis] the time
 * between batches without charges. [askMillis] is the least time between two requests for the same share.
 * [exhaustedMillis] is how long the answer that a budget is exhausted holds, so that refusals of one organisation do
 * not delay the batches of others. Expected use is counted over [demandMillis].
 */
data class DomainLedgerSettings(
    val sessionMillis: Long = DEFAULT_SESSION_MILLIS,
    val shareWaitMillis: Long = DEFAULT_SHARE_WAIT_MILLIS,
    val claimWaitMillis: Long = DEFAULT_CLAIM_WAIT_MILLIS,
    val mergeMillis: Long = DEFAULT_MERGE_MILLIS,
    val resendMillis: Long = DEFAULT_RESEND_MILLIS,
    val idleMergeMillis: Long = DEFAULT_IDLE_MERGE_MILLIS,
    val askMillis: Long = DEFAULT_ASK_MILLIS,
    val exhaustedMillis: Long = DEFAULT_EXHAUSTED_MILLIS,
    val demandMillis: Long = DEFAULT_DEMAND_MILLIS,
    val maximumBatch: Int = DEFAULT_BATCH,
    val maximumReruns: Int = DEFAULT_RERUNS,
    val chargeRetentionMillis: Long = DEFAULT_CHARGE_RETENTION,
    val claimRetentionMillis: Long = DEFAULT_CLAIM_RETENTION,
    val maximumKeyAgeMillis: Long = DEFAULT_KEY_AGE,
    val maximumCharges: Long = DEFAULT_MAXIMUM_ROWS,
    val maximumClaims: Long = DEFAULT_MAXIMUM_ROWS,
)
