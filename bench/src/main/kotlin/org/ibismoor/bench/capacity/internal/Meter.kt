/**
 * Reads processor time and memory of this process. Processor time is that of the calling thread, so other load on the
 * machine changes it little; memory is the heap that is left after a collection.
 */
package org.ibismoor.bench.capacity.internal

import java.lang.management.ManagementFactory

private const val NANOS_PER_MICRO = 1_000.0
private const val BYTES_PER_MEGABYTE = 1_000_000.0
private const val COLLECTIONS = 3

/** Microseconds of processor time for each of [count] runs of [work], after as many runs for warming up. */
internal fun microsPerRun(count: Int, work: (Int) -> Unit): Double {
    val threads = ManagementFactory.getThreadMXBean()
    repeat(count) { work(it) }
    val before = threads.currentThreadCpuTime
    repeat(count) { work(count + it) }
    return (threads.currentThreadCpuTime - before) / NANOS_PER_MICRO / count
}

/** The value that [make] returns and the megabytes of heap that it holds. */
internal fun <T> withHeap(make: () -> T): Pair<T, Double> {
    val before = usedHeap()
    val value = make()
    return value to (usedHeap() - before) / BYTES_PER_MEGABYTE
}

private fun usedHeap(): Long {
    val memory = ManagementFactory.getMemoryMXBean()
    repeat(COLLECTIONS) { memory.gc() }
    return memory.heapMemoryUsage.used
}
