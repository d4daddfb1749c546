/**
 * Limits and time limits of a router. Times are in milliseconds.
 */
package org.ibismoor.routing.api

private const val DEFAULT_QUEUE_LENGTH = 1_000
private const val DEFAULT_QUEUE_MILLIS = 10_000L
private const val DEFAULT_IN_FLIGHT_PER_UPSTREAM = 32
private const val DEFAULT_UPSTREAMS_PER_GROUP = 16
private const val DEFAULT_ATTEMPTS = 4
private const val DEFAULT_ASK_MILLIS = 1_000L
private const val DEFAULT_RESERVE_MILLIS = 3_000L
private const val DEFAULT_MOVE_MILLIS = 2_000L
private const val DEFAULT_SETTLE_MILLIS = 10_000L
private const val DEFAULT_SESSION_MILLIS = 4_000L
private const val DEFAULT_ADDRESS_MILLIS = 10_000L
private const val DEFAULT_PREFIX_HINTS = 20_000

/**
 * [queueLength] bounds waiting requests of the whole router and [queueMillis] the wait of one. [askMillis] is the time
 * after which an unanswered ledger request is sent again, and [reserveMillis] the time after which a reservation is
 * given up. [moveMillis] is the time without an answer of the first ledger after which an answer is settled elsewhere.
 * [sessionMillis] is shorter than the 6 s after which a ledger drops a session; the difference covers 1% drift and a
 * message in flight. [addressMillis] is the time for which callers keep addresses.
 */
data class RoutingLimits(
    val queueLength: Int = DEFAULT_QUEUE_LENGTH,
    val queueMillis: Long = DEFAULT_QUEUE_MILLIS,
    val inFlightPerUpstream: Int = DEFAULT_IN_FLIGHT_PER_UPSTREAM,
    val upstreamsPerGroup: Int = DEFAULT_UPSTREAMS_PER_GROUP,
    val attempts: Int = DEFAULT_ATTEMPTS,
    val askMillis: Long = DEFAULT_ASK_MILLIS,
    val reserveMillis: Long = DEFAULT_RESERVE_MILLIS,
    val moveMillis: Long = DEFAULT_MOVE_MILLIS,
    val settleMillis: Long = DEFAULT_SETTLE_MILLIS,
    val sessionMillis: Long = DEFAULT_SESSION_MILLIS,
    val addressMillis: Long = DEFAULT_ADDRESS_MILLIS,
    val prefixHints: Int = DEFAULT_PREFIX_HINTS,
)
