/**
 * Tokens of an organisation's budget that a router may spend on its own. All counters start at 0 with the session.
 */
package org.ibismoor.forwarding.api

import org.ibismoor.core.api.Timestamp

data class AllowanceRow(
    val issued: Long = 0,
    val returned: Long = 0,
    /** Tokens that completed requests have cost. */
    val settled: Long = 0,
    /** Maximum cost of the requests in flight, in tokens. */
    val reserved: Long = 0,
    /** Tokens that waiting requests need and the router does not have. */
    val shortfall: Long = 0,
    /** Demand in tokens a second, exponentially weighted. */
    val demandPerSecond: Double = 0.0,
    /** The same over a longer time. */
    val sustainedDemandPerSecond: Double = 0.0,
    /**
     * Tokens that requests have reserved since the last report. Refused requests do not count, since callers repeat
     * them many times when a budget is nearly spent.
     */
    val reservedSinceReport: Long = 0,
    /** Mean size of a reservation in tokens, exponentially weighted. */
    val meanReservation: Double = 0.0,
    /** Tokens that other routers have lent to this one. */
    val borrowed: Long = 0,
    /** Tokens that this router has lent to others. */
    val lent: Long = 0,
    /** The demand at all routers divided evenly among them, in tokens a second. */
    val evenDemandPerSecond: Double = 0.0,
    /** Time for which the router holds tokens in advance, in milliseconds. */
    val horizonMillis: Long = 0,
    /** Most tokens that the router may hold in advance, according to the leader at [updatedAt]. */
    val advanceLimit: Long = 0,
    /** Tokens that were issued to no router at [updatedAt]. */
    val unissued: Long = 0,
    /** Tokens of the budget that were not known to be spent, according to the leader at [updatedAt]. */
    val unspent: Long = Long.MAX_VALUE,
    /** When the leader last answered about this budget. */
    val updatedAt: Timestamp? = null,
) {
    val held: Long get() = issued + borrowed - lent - returned - settled
    val available: Long get() = held - reserved
}
