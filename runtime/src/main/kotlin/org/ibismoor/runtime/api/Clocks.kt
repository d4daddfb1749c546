/**
 * Makes clocks.
 */
package org.ibismoor.runtime.api

import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.WallTime
import kotlin.time.TimeSource

/** A clock over [source], which starts at 0, and over [wallMillis] for the time of day. */
fun createClock(
    source: TimeSource = TimeSource.Monotonic,
    wallMillis: () -> Long = System::currentTimeMillis,
): RuntimeClock {
    val start = source.markNow()
    return object : RuntimeClock {
        override fun now(): Timestamp = Timestamp(start.elapsedNow().inWholeMilliseconds)

        override fun wallTime(): WallTime = WallTime(wallMillis())
    }
}
