/**
 * Settings of the pace of requests.
 */
package org.ibismoor.pacing.api

private const val DELAY_FACTOR = 2.0
private const val DECREASE_FACTOR = 0.5
private const val ROUND_MILLIS = 200L

data class PaceSettings(
    /** A smoothed delay above the upstream's own best by this factor lowers the limit like a refusal. */
    val delayFactor: Double = DELAY_FACTOR,
    /** Factor of the limit after a refusal. */
    val decreaseFactor: Double = DECREASE_FACTOR,
    /** Expected time of one answer while nothing has been measured, in milliseconds. */
    val roundMillis: Long = ROUND_MILLIS,
    /** A cold upstream may get its requests per second times this factor within one second. */
    val coldOvershoot: Double = 1.0,
    /** Requests within one second that a cold upstream may get in addition. */
    val coldSlack: Double = 0.0,
)

/** Slots of an upstream and number of routers that share them. */
data class SharedSlots(val slots: Int, val routers: Int) {
    /** True if not every router can have a request in flight at the upstream at the same time. */
    val isScarce: Boolean get() = slots < routers

    /** First limit of one router's requests in flight. */
    val firstLimit: Double get() = (slots / routers.coerceAtLeast(1)).coerceAtLeast(1).toDouble()
}
