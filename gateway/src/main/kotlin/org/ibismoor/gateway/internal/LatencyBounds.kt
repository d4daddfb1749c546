/**
 * Bucket bounds that all latency histograms share.
 */
package org.ibismoor.gateway.internal

import io.micrometer.core.instrument.Timer
import java.time.Duration

private const val SMALLEST_BOUND_MILLIS = 1L
private const val BUCKET_COUNT = 15

/** Adds bucket bounds that double from 1 ms to about 16 s. */
internal fun Timer.Builder.withLatencyBuckets(): Timer.Builder {
    val bounds = Array(BUCKET_COUNT) { Duration.ofMillis(SMALLEST_BOUND_MILLIS shl it) }
    @Suppress("SpreadOperator") // the builder takes the bounds as varargs only
    return serviceLevelObjectives(*bounds)
}
