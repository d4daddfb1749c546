/**
 * Sizes of a memory budget in bytes, and the times of its rules.
 */
package org.ibismoor.memory.api

/**
 * Share of the heap for connections: a process without connections has a third of the smallest heap in use, and the
 * collector needs free space beside objects of 4 MiB.
 */
private const val HEAP_PERCENT = 35L
private const val RESERVE_PERCENT = 25L

/** Answers that wait to be written are copied to direct memory, of which other writes and reads need a part. */
private const val DIRECT_PERCENT = 50L
private const val PERCENT = 100L
private const val SMALL_BODY_BYTES = 64L * 1024
private const val STALL_MILLIS = 500L
private const val PROGRESS_BYTES = 4L * 1024

data class MemorySettings(
    val totalBytes: Long,
    /** Part of the total that only heads, answers and small bodies may use. */
    val reservedBytes: Long,
    /** Bytes that unsent answers may use at most. */
    val answerBytes: Long,
    /** A connection may hold this much for a body and still use the reserve. */
    val smallBodyBytes: Long = SMALL_BODY_BYTES,
    /** A connection that was without progress for this time loses its memory when another one needs it. */
    val stallMillis: Long = STALL_MILLIS,
    /** Fewer received bytes are no progress, so that a caller cannot hold memory by sending byte after byte. */
    val progressBytes: Long = PROGRESS_BYTES,
)

/** Settings for a process with [heapBytes] of heap and [directBytes] outside of it. */
fun memorySettingsFor(heapBytes: Long, directBytes: Long): MemorySettings {
    val total = heapBytes * HEAP_PERCENT / PERCENT
    return MemorySettings(
        totalBytes = total,
        reservedBytes = total * RESERVE_PERCENT / PERCENT,
        answerBytes = minOf(total, directBytes * DIRECT_PERCENT / PERCENT),
    )
}
