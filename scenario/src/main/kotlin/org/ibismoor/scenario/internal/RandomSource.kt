/**
 * Mutable source of random numbers for building schedules; the same seed gives the same sequence.
 */
package org.ibismoor.scenario.internal

import org.ibismoor.core.api.SeededRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

internal class RandomSource(seed: Long) {
    private var random = SeededRandom(seed)

    /** A number from 0 to less than [bound]. */
    fun below(bound: Int): Int {
        val number = random.below(bound.toLong()).toInt()
        random = random.advance()
        return number
    }

    fun <T> oneOf(items: List<T>): T = items[below(items.size)]

    /** A duration from [minimum] to less than [maximum], in whole milliseconds. */
    fun between(minimum: Duration, maximum: Duration): Duration =
        minimum + below((maximum - minimum).inWholeMilliseconds.toInt()).milliseconds
}
