/**
 * Sends a crowd to a process and checks that it stays within its bounds and still answers afterwards.
 */
package org.ibismoor.testing

import java.net.InetSocketAddress
import java.util.concurrent.TimeUnit

private const val OBSERVATION_INTERVAL_MILLIS = 100L
private const val ANSWER_WAIT_MILLIS = 15_000L
private const val RETRY_MILLIS = 200L
private const val LOGGED_CHARACTERS = 2_000
private const val BYTES_PER_MEGABYTE = 1024L * 1024

/** [bytes] bound the resident memory of the process, and [descriptors] its open descriptors. */
data class ProcessBounds(val bytes: Long, val descriptors: Int)

class CrowdCheck(
    private val process: ProcessUnderTest,
    private val bounds: ProcessBounds,
    private val isAnswered: () -> Boolean,
) {
    private var peakBytes = 0L
    private var peakDescriptors = 0
    private var observedAt = System.nanoTime()

    /** Throws `IllegalStateException` with every bound that does not hold. */
    fun run(name: String, address: InetSocketAddress, patterns: List<CallerPattern>, connections: Int, seconds: Int) {
        check(awaitAnswer()) { "no ordinary request was answered before the crowd came: ${process.text}" }
        CallerCrowd(address, patterns, connections, seconds).run(::observe)
        val isAnswered = awaitAnswer()
        observeNow()
        val isAlive = process.isAlive
        val measured = "peak ${peakBytes / BYTES_PER_MEGABYTE} MB, $peakDescriptors descriptors"
        println("crowd $name: $measured, alive=$isAlive, answered=$isAnswered")
        val findings = listOfNotNull(
            "the process ended".takeUnless { isAlive },
            "an ordinary request got no answer".takeUnless { isAnswered },
            "the memory exceeds ${bounds.bytes / BYTES_PER_MEGABYTE} MB".takeIf { peakBytes > bounds.bytes },
            "the descriptors exceed ${bounds.descriptors}".takeIf { peakDescriptors > bounds.descriptors },
            "an OutOfMemoryError was logged".takeIf { "OutOfMemoryError" in process.text },
        )
        val end = process.text.takeLast(LOGGED_CHARACTERS)
        check(findings.isEmpty()) { "$findings with $measured; end of the log: $end" }
    }

    private fun observe() {
        val now = System.nanoTime()
        if (now - observedAt < TimeUnit.MILLISECONDS.toNanos(OBSERVATION_INTERVAL_MILLIS)) return
        observedAt = now
        observeNow()
    }

    private fun observeNow() {
        peakBytes = maxOf(peakBytes, process.peakBytes)
        peakDescriptors = maxOf(peakDescriptors, process.openDescriptors)
    }

    private fun awaitAnswer(): Boolean {
        val end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(ANSWER_WAIT_MILLIS)
        while (process.isAlive && System.nanoTime() < end) {
            if (isAnswered()) return true
            Thread.sleep(RETRY_MILLIS)
        }
        return false
    }
}
