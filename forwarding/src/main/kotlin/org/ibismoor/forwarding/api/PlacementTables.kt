/**
 * State of the placement of callers at one router: its own room, how much it prefers routers near a caller, and whether
 * it moves callers to other routers.
 */
package org.ibismoor.forwarding.api

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.ibismoor.core.api.FailureDomainId

data class PlacementTables(
    /** Seed of the draws of answers; it differs between routers and between starts. */
    val drawSeed: Long = 0,
    /** The part in use of the scarcest resource, exponentially weighted. */
    val usedPart: Double = 0.0,
    /** Room in requests per second as it is reported, and the requests per second in thousandths of the capacity. */
    val room: Int? = null,
    val loadPerMille: Int? = null,
    /** How much more often than by its room a router is named to callers of its own failure domain; 1 if absent. */
    val nearFactors: PersistentMap<FailureDomainId, Double> = persistentHashMapOf(),
    /** Connections a second that are closed after an answer, so that their callers move to other routers. */
    val movesPerSecond: Int = 0,
)

/** Counts the callers that were moved in the current second. */
data class CallerMoves(val second: Long = 0, val moved: Int = 0) {
    /** The count with one more move at [millis]; null if [limit] a second is reached. */
    fun withMove(millis: Long, limit: Int): CallerMoves? {
        val current = millis / MILLIS_PER_SECOND
        val before = if (current == second) moved else 0
        return if (before < limit) CallerMoves(current, before + 1) else null
    }

    private companion object {
        const val MILLIS_PER_SECOND = 1_000L
    }
}
