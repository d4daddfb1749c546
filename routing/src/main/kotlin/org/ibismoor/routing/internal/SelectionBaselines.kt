/**
 * Baseline selection policies for comparison in the replay.
 */
package org.ibismoor.routing.internal

import org.ibismoor.core.api.UpstreamId
import org.ibismoor.routing.api.SelectionInput
import org.ibismoor.routing.api.SelectionPolicy

internal object RoundRobin : SelectionPolicy {
    override fun select(input: SelectionInput): UpstreamId =
        input.candidates[Math.floorMod(input.dispatchCount, input.candidates.size)]
}

internal object RandomChoice : SelectionPolicy {
    override fun select(input: SelectionInput): UpstreamId =
        input.candidates[input.random.below(input.candidates.size.toLong()).toInt()]
}

internal object LeastInFlight : SelectionPolicy {
    override fun select(input: SelectionInput): UpstreamId =
        input.candidates.minBy { input.upstreams.getValue(it).inFlight }
}
