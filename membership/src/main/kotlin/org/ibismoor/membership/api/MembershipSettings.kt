/**
 * Settings of the membership machine of a control process.
 */
package org.ibismoor.membership.api

private const val DEFAULT_CONTACT_TIMEOUT_MILLIS = 3_000L
private const val DEFAULT_SUMMARY_MILLIS = 1_000L
private const val DEFAULT_RETAINED_DELTAS = 256

/**
 * A router or a domain without contact for [contactTimeoutMillis] no longer counts as live. [retainedDeltas] limits the
 * configuration deltas kept for routers that are behind.
 */
data class MembershipSettings(
    val contactTimeoutMillis: Long = DEFAULT_CONTACT_TIMEOUT_MILLIS,
    val summaryMillis: Long = DEFAULT_SUMMARY_MILLIS,
    val retainedDeltas: Int = DEFAULT_RETAINED_DELTAS,
)
