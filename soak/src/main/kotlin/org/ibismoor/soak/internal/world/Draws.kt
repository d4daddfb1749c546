/**
 * Draws that depend only on the seed and on what they are for, so that one caller's draws don't shift another's.
 */
package org.ibismoor.soak.internal.world

import org.ibismoor.core.api.SeededRandom

private const val FACTOR = 1_000_003L

/** A number in `0 until bound` for the occasion that [keys] name. */
internal fun SoakTables.draw(bound: Long, vararg keys: Any): Long {
    val state = keys.fold(schedule.seed) { state, key -> state * FACTOR + key.hashCode() }
    return SeededRandom(state).below(bound)
}
