/**
 * Creates clocks over a time source.
 */
package org.ibismoor.runtime.api

import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.WallTime
import kotlin.time.TimeSource

/** Creates a clock that counts from 0 on [source] and takes the wall-clock time from [wallMillis]. */
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
