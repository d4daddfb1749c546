/**
 * Limits of an HTTP server on its callers: sizes in bytes, timeouts in milliseconds. A caller that exceeds a size gets
 * an error; one that exceeds a timeout is disconnected, and occupies no thread until then.
 */
package org.ibismoor.transport.api

private const val DEFAULT_BODY_BYTES = 4L * 1024 * 1024
private const val DEFAULT_HEADER_BYTES = 64 * 1024
private const val DEFAULT_HEADER_TIMEOUT_MILLIS = 10_000
private const val DEFAULT_BODY_TIMEOUT_MILLIS = 30_000L
private const val DEFAULT_IDLE_TIMEOUT_MILLIS = 120_000

/** [bodyBytesByPath] overrides [bodyBytes] for individual paths. */
data class HttpLimits(
    val bodyBytes: Long = DEFAULT_BODY_BYTES,
    val bodyBytesByPath: Map<String, Long> = emptyMap(),
    val headerBytes: Int = DEFAULT_HEADER_BYTES,
    val headerTimeoutMillis: Int = DEFAULT_HEADER_TIMEOUT_MILLIS,
    val bodyTimeoutMillis: Long = DEFAULT_BODY_TIMEOUT_MILLIS,
    val idleTimeoutMillis: Int = DEFAULT_IDLE_TIMEOUT_MILLIS,
) {
    fun bodyBytesFor(path: String): Long = bodyBytesByPath[path] ?: bodyBytes
}
