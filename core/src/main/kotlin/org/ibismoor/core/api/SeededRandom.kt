/**
 * An immutable pseudo-random generator (SplitMix64). Its state is stored in the tables, so that a replay from
 * the same seed draws the same numbers.
 */
package org.ibismoor.core.api

import kotlinx.serialization.Serializable

private const val INCREMENT = -0x61c8864680b583ebL
private const val FIRST_MULTIPLIER = -0x40a7b892e31b1a47L
private const val SECOND_MULTIPLIER = -0x6b2fb644ecceee15L
private const val FIRST_SHIFT = 30
private const val SECOND_SHIFT = 27
private const val THIRD_SHIFT = 31

@Serializable
data class SeededRandom(private val state: Long) {
    /** The generator for the next draw. */
    fun advance(): SeededRandom = SeededRandom(state + INCREMENT)

    /** The number drawn from the current state, in `0 until bound`. [bound] must be positive. */
    fun below(bound: Long): Long = Math.floorMod(mix(state + INCREMENT), bound)

    private fun mix(input: Long): Long {
        val a = (input xor (input ushr FIRST_SHIFT)) * FIRST_MULTIPLIER
        val b = (a xor (a ushr SECOND_SHIFT)) * SECOND_MULTIPLIER
        return b xor (b ushr THIRD_SHIFT)
    }
}
