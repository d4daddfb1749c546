/**
 * The monotonic clock of a host, which is fast by [driftPerMille] parts in a thousand against the time of the scenario.
 */
package org.ibismoor.scenario.internal

import org.ibismoor.core.api.Timestamp

private const val PER_MILLE = 1_000L

internal data class HostClock(val driftPerMille: Int = 0) {
    /** What the clock shows at [time] of the scenario. */
    fun show(time: Timestamp): Timestamp = Timestamp(time.millis * (PER_MILLE + driftPerMille) / PER_MILLE)

    /** The first time of the scenario at which the clock shows [shown] or more. */
    fun timeOf(shown: Timestamp): Timestamp {
        val rate = PER_MILLE + driftPerMille
        return Timestamp((shown.millis * PER_MILLE + rate - 1) / rate)
    }
}
