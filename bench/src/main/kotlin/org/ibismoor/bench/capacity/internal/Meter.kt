/**
 * Reads processor time and memory of this process. Processor time is that of the calling thread, so other load on the
 * machine affects it little; memory is the heap in use after garbage collection.
 */
package org.ibismoor.bench.capacity.internal

import java.lang.management.ManagementFactory

private const val NANOS_PER_MICRO = 1_000.0
private const val BYTES_PER_MEGABYTE = 1_000_000.0
private const val COLLECTION_COUNT = 3

/** Microseconds of processor time for each of [count] runs of [work], after as many warm-up runs. */
internal fun microsPerRun(count: Int, work: (Int) -> Unit): Double {
    val threads = ManagementFactory.getThreadMXBean()
    repeat(count) { work(it) }
    val before = threads.currentThreadCpuTime
    repeat(count) { work(count + it) }
    return (threads.currentThreadCpuTime - before) / NANOS_PER_MICRO / count
}

/** Pairs the value that [create] returns with the megabytes of heap that it retains. */
internal fun <T> withHeap(create: () -> T): Pair<T, Double> {
    val before = usedHeapBytes()
    val value = create()
    return value to (usedHeapBytes() - before) / BYTES_PER_MEGABYTE
}

private fun usedHeapBytes(): Long {
    val memory = ManagementFactory.getMemoryMXBean()
    repeat(COLLECTION_COUNT) { memory.gc() }
    return memory.heapMemoryUsage.used
}
