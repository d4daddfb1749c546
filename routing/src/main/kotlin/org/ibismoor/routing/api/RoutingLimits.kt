/**
 * Limits and time-outs of the routing decisions.
 */
package org.ibismoor.routing.api

private const val DEFAULT_QUEUE_LENGTH = 1_000
private const val DEFAULT_QUEUE_TIMEOUT_MILLIS = 10_000L
private const val DEFAULT_IN_FLIGHT_PER_UPSTREAM = 32
private const val DEFAULT_UPSTREAMS_PER_GROUP = 16
private const val DEFAULT_MAX_ATTEMPTS = 4
private const val DEFAULT_LEDGER_RESEND_MILLIS = 1_000L
private const val DEFAULT_RESERVE_TIMEOUT_MILLIS = 3_000L
private const val DEFAULT_SETTLE_MOVE_MILLIS = 2_000L
private const val DEFAULT_SETTLE_TIMEOUT_MILLIS = 10_000L
private const val DEFAULT_SESSION_TIMEOUT_MILLIS = 4_000L
private const val DEFAULT_ADDRESS_CACHE_MILLIS = 10_000L
private const val DEFAULT_PREFIX_HINTS = 20_000

/**
 * [queueLength] limits the queued requests of the whole router, [queueTimeoutMillis] the time that one of them waits.
 * [maxAttempts] does not count attempts of which no byte was sent.
 *
 * An unanswered ledger request is sent again after [ledgerResendMillis]; a request whose reservation takes longer than
 * [reserveTimeoutMillis] fails. An answer is settled at another ledger after [settleMoveMillis] without an answer from
 * the first one, and fails after [settleTimeoutMillis], but not before its deadline. [sessionTimeoutMillis] is shorter
 * than the 6 s after which a ledger drops a session; the difference covers 1% clock drift and a message in flight.
 * [addressCacheMillis] is the time for which callers cache router addresses.
 */
data class RoutingLimits(
    val queueLength: Int = DEFAULT_QUEUE_LENGTH,
    val queueTimeoutMillis: Long = DEFAULT_QUEUE_TIMEOUT_MILLIS,
    val inFlightPerUpstream: Int = DEFAULT_IN_FLIGHT_PER_UPSTREAM,
    val upstreamsPerGroup: Int = DEFAULT_UPSTREAMS_PER_GROUP,
    val maxAttempts: Int = DEFAULT_MAX_ATTEMPTS,
    val ledgerResendMillis: Long = DEFAULT_LEDGER_RESEND_MILLIS,
    val reserveTimeoutMillis: Long = DEFAULT_RESERVE_TIMEOUT_MILLIS,
    val settleMoveMillis: Long = DEFAULT_SETTLE_MOVE_MILLIS,
    val settleTimeoutMillis: Long = DEFAULT_SETTLE_TIMEOUT_MILLIS,
    val sessionTimeoutMillis: Long = DEFAULT_SESSION_TIMEOUT_MILLIS,
    val addressCacheMillis: Long = DEFAULT_ADDRESS_CACHE_MILLIS,
    val prefixHints: Int = DEFAULT_PREFIX_HINTS,
)
