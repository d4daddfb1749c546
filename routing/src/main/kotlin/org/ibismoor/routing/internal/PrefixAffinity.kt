/**
 * Affinity to the engine that has the prompt prefix in its cache: rendezvous hashing with a load bound, so that a hot
 * prefix spills over to a second engine before requests wait at the first.
 */
package org.ibismoor.routing.internal

import org.ibismoor.core.api.SeededRandom
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.routing.api.SelectionInput
import org.ibismoor.routing.api.SelectionPolicy

private const val BOUND_FACTOR = 1.25
private const val BOUND_EXTRA = 0.5

// In requests above the mean. At high load, a quarter of the mean would fill the batch of a hot engine while others
// have free places.
private const val MAX_EXCESS = 1.0

internal object PrefixAffinity : SelectionPolicy {
    override fun select(input: SelectionInput): UpstreamId {
        val prefix = input.prefixHashes.lastOrNull() ?: return input.leastLoaded(input.candidates)
        val loads = input.candidates.associateWith(input::load)
        val mean = loads.values.average()
        val bound = minOf(mean * BOUND_FACTOR + BOUND_EXTRA, mean + MAX_EXCESS)
        return input.candidates.filter { loads.getValue(it) <= bound }
            .maxByOrNull { rank(prefix, it) } ?: input.leastLoaded(input.candidates)
    }

    private fun rank(prefix: Long, id: UpstreamId): Long =
        SeededRandom(prefix xor id.text.hashCode().toLong()).below(Long.MAX_VALUE)
}
