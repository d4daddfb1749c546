/**
 * Latency histograms of one path in microseconds. Traffic threads record concurrently.
 */
package org.ibismoor.bench.load.internal

import org.HdrHistogram.ConcurrentHistogram

private const val MAX_MICROS = 300_000_000L
private const val SIGNIFICANT_DIGITS = 3

internal class PathTimes {
    val firstToken = ConcurrentHistogram(MAX_MICROS, SIGNIFICANT_DIGITS)
    val gap = ConcurrentHistogram(MAX_MICROS, SIGNIFICANT_DIGITS)

    companion object {
        /** Takes the times of requests that are not measured. */
        val unmeasured = PathTimes()
    }
}
