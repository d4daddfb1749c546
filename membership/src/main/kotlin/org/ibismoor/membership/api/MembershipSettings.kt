/**
 * Settings of the membership decisions of a control process. Times are in milliseconds.
 */
package org.ibismoor.membership.api

private const val DEFAULT_CONTACT_TIMEOUT_MILLIS = 3_000L
private const val DEFAULT_SUMMARY_MILLIS = 1_000L
private const val DEFAULT_RETAINED_DELTAS = 256

/** [contactTimeoutMillis] is the time after which a router or a domain that was not heard is no longer counted as live. */
data class MembershipSettings(
    val contactTimeoutMillis: Long = DEFAULT_CONTACT_TIMEOUT_MILLIS,
    val summaryMillis: Long = DEFAULT_SUMMARY_MILLIS,
    val retainedDeltas: Int = DEFAULT_RETAINED_DELTAS,
)
