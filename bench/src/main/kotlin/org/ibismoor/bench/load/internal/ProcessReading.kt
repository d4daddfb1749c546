/**
 * Processor time and resident memory of a process, read from its files under /proc. The kernel counts processor time in
 * ticks of 10 ms.
 */
package org.ibismoor.bench.load.internal

import java.io.IOException
import java.nio.file.Path
import kotlin.io.path.readLines
import kotlin.io.path.readText

private const val TICKS_PER_SECOND = 100.0
private const val USER_TICKS_FIELD = 11
private const val KILOBYTES_PER_MEGABYTE = 1_024.0
private const val NANOS_PER_SECOND = 1e9

internal data class ProcessReading(val atSeconds: Double, val processorSeconds: Double, val residentMegabytes: Double) {
    companion object {
        /** Null if there is no such process. */
        fun of(process: Long): ProcessReading? =
            try {
                val folder = Path.of("/proc", process.toString())
                // The program name is in parentheses and may contain spaces.
                val fields = folder.resolve("stat").readText().substringAfterLast(") ").split(' ')
                val ticks = fields[USER_TICKS_FIELD].toLong() + fields[USER_TICKS_FIELD + 1].toLong()
                val resident = folder.resolve("status").readLines().first { it.startsWith("VmRSS:") }
                    .filter(Char::isDigit).toLong()
                val now = System.nanoTime() / NANOS_PER_SECOND
                ProcessReading(now, ticks / TICKS_PER_SECOND, resident / KILOBYTES_PER_MEGABYTE)
            } catch (_: IOException) {
                null
            }
    }
}
