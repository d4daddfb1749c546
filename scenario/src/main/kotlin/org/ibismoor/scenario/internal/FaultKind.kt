/**
 * One kind of fault that a random schedule can contain.
 */
package org.ibismoor.scenario.internal

import org.ibismoor.scenario.api.ScenarioBuilder
import kotlin.time.Duration

internal fun interface FaultKind {
    /** Adds a fault that starts at [start] and ends at [end]. */
    fun addFault(builder: ScenarioBuilder, random: RandomSource, start: Duration, end: Duration)
}
