/**
 * The monotonic clock of a host, which runs fast by [driftPerMille] parts in a thousand relative to scenario time.
 */
package org.ibismoor.scenario.internal

import org.ibismoor.core.api.Timestamp

private const val PER_MILLE = 1_000L

internal data class HostClock(val driftPerMille: Int = 0) {
    /** The reading of the clock at the scenario time [time]. */
    fun localTime(time: Timestamp): Timestamp = Timestamp(time.millis * (PER_MILLE + driftPerMille) / PER_MILLE)

    /** The earliest scenario time at which the clock reads [local] or more. */
    fun scenarioTime(local: Timestamp): Timestamp {
        val rate = PER_MILLE + driftPerMille
        return Timestamp((local.millis * PER_MILLE + rate - 1) / rate)
    }
}
