/**
 * A sequence of draws from a seed.
 */
package org.ibismoor.scenario.internal

import org.ibismoor.core.api.SeededRandom
import kotlin.time.Duration
import kotlin.time.Duration.Companion.milliseconds

internal class Draw(seed: Long) {
    private var random = SeededRandom(seed)

    /** A number in `0 until bound`. */
    fun below(bound: Int): Int {
        val number = random.below(bound.toLong()).toInt()
        random = random.advance()
        return number
    }

    fun <T> oneOf(items: List<T>): T = items[below(items.size)]

    /** A duration from [least] to less than [most], in whole milliseconds. */
    fun between(least: Duration, most: Duration): Duration =
        least + below((most - least).inWholeMilliseconds.toInt()).milliseconds
}
