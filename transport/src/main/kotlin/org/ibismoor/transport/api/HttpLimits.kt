/**
 * Limits of an HTTP server towards its callers: sizes in bytes, times in milliseconds. A caller that exceeds a size
 * gets an error; one that is slower than a time is disconnected, and holds no thread meanwhile.
 */
package org.ibismoor.transport.api

private const val DEFAULT_BODY_BYTES = 4L * 1024 * 1024
private const val DEFAULT_HEADER_BYTES = 64 * 1024
private const val DEFAULT_HEADER_MILLIS = 10_000
private const val DEFAULT_BODY_MILLIS = 30_000L
private const val DEFAULT_IDLE_MILLIS = 120_000

/** [bodyBytesByPath] holds limits of paths that differ from [bodyBytes]. */
data class HttpLimits(
    val bodyBytes: Long = DEFAULT_BODY_BYTES,
    val bodyBytesByPath: Map<String, Long> = emptyMap(),
    val headerBytes: Int = DEFAULT_HEADER_BYTES,
    val headerTimeoutMillis: Int = DEFAULT_HEADER_MILLIS,
    val bodyTimeoutMillis: Long = DEFAULT_BODY_MILLIS,
    val idleTimeoutMillis: Int = DEFAULT_IDLE_MILLIS,
) {
    fun bodyBytesOf(path: String): Long = bodyBytesByPath[path] ?: bodyBytes
}
