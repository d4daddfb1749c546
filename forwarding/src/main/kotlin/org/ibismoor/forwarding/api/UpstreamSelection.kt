/**
 * Strategy that chooses one of the upstreams that can take a request.
 */
package org.ibismoor.forwarding.api

import org.ibismoor.core.api.SeededRandom
import org.ibismoor.core.api.Timestamp

fun interface UpstreamSelection {
    /** Chooses one of [candidates], which are not empty and have no defined order. */
    fun choose(candidates: List<UpstreamRow>, request: RequestRow, now: Timestamp, random: SeededRandom): UpstreamRow
}
