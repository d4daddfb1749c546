/**
 * Times of one path in microseconds. Traffic threads record concurrently.
 */
package org.ibismoor.bench.load.internal

import org.HdrHistogram.ConcurrentHistogram

private const val LONGEST_MICROS = 300_000_000L
private const val DIGITS = 3

internal class PathTimes {
    val firstToken = ConcurrentHistogram(LONGEST_MICROS, DIGITS)
    val gap = ConcurrentHistogram(LONGEST_MICROS, DIGITS)

    companion object {
        /** For requests that are not measured. */
        val unused = PathTimes()
    }
}
