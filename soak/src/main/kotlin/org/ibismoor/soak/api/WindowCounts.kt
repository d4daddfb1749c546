/**
 * Counts events in buckets of equal length, for sums over sliding windows.
 */
package org.ibismoor.soak.api

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentHashMapOf
import org.ibismoor.core.api.Timestamp

const val BUCKET_MILLIS = 100L

data class WindowCounts(private val counts: PersistentMap<Long, Int> = persistentHashMapOf()) {
    /** Counts an event at [at] and forgets the buckets that are more than [retainedBuckets] older. */
    fun plus(at: Timestamp, retainedBuckets: Long): WindowCounts {
        val bucket = bucketOf(at)
        val count = counts[bucket] ?: return WindowCounts(counts.without(bucket - retainedBuckets).put(bucket, 1))
        return WindowCounts(counts.put(bucket, count + 1))
    }

    operator fun get(bucket: Long): Int = counts[bucket] ?: 0

    /** Number of events in [buckets]. */
    fun sum(buckets: LongRange): Int = buckets.sumOf { this[it] }

    private fun PersistentMap<Long, Int>.without(oldest: Long): PersistentMap<Long, Int> =
        mutate { retained -> retained.keys.removeAll { it < oldest } }
}

fun bucketOf(at: Timestamp): Long = Math.floorDiv(at.millis, BUCKET_MILLIS)
