/**
 * Reads server-sent events. It throws an `IOException` if the stream breaks or a line exceeds its limit.
 */
package org.ibismoor.router.internal

import okio.BufferedSource

private const val LONGEST_LINE_BYTES = 1024L * 1024

internal class EventReader(private val source: BufferedSource) {
    val isAtEnd: Boolean get() = source.exhausted()

    /** The next event with data, or null at the end of the stream. An event without its blank line is not whole. */
    fun next(): ServerEvent? {
        var data: String? = null
        while (!source.exhausted()) {
            val line = source.readUtf8LineStrict(LONGEST_LINE_BYTES)
            val event = data
            if (line.isEmpty() && event != null) return ServerEvent(event)
            data = if (line.startsWith("data:")) joined(event, line) else event
        }
        return null
    }

    private fun joined(data: String?, line: String): String {
        val text = line.removePrefix("data:").removePrefix(" ")
        return if (data == null) text else "$data\n$text"
    }
}
