/**
 * Settings of the membership decisions of a control process. Times are in milliseconds.
 */
package org.ibismoor.membership.api

private const val DEFAULT_SILENCE_MILLIS = 3_000L
private const val DEFAULT_SUMMARY_MILLIS = 1_000L
private const val DEFAULT_DELTAS_KEPT = 256

/** [silenceMillis] is the time after which a router or a domain that was not heard is no longer counted as live. */
data class MembershipSettings(
    val silenceMillis: Long = DEFAULT_SILENCE_MILLIS,
    val summaryMillis: Long = DEFAULT_SUMMARY_MILLIS,
    val deltasKept: Int = DEFAULT_DELTAS_KEPT,
)
