/**
 * Reads server-sent events. Throws an `IOException` if the connection fails, the stream ends within a line or a line
 * exceeds its limit.
 */
package org.ibismoor.router.internal

import okio.BufferedSource

private const val MAXIMUM_LINE_BYTES = 1024L * 1024

internal class EventReader(private val source: BufferedSource) {
    val isAtEnd: Boolean get() = source.exhausted()

    /** The next event with data, or null at the end of the stream. An event without its blank line is discarded. */
    fun next(): ServerEvent? {
        var data: String? = null
        while (!source.exhausted()) {
            val line = source.readUtf8LineStrict(MAXIMUM_LINE_BYTES)
            val collected = data
            if (line.isEmpty() && collected != null) return ServerEvent(collected)
            data = if (line.startsWith("data:")) withDataLine(collected, line) else collected
        }
        return null
    }

    private fun withDataLine(data: String?, line: String): String {
        val text = line.removePrefix("data:").removePrefix(" ")
        return if (data == null) text else "$data\n$text"
    }
}
