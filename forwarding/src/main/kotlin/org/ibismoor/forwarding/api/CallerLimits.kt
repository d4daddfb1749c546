/**
 * Limits of a caller's requests: sizes in bytes, times in milliseconds.
 */
package org.ibismoor.forwarding.api

private const val DEFAULT_HEADER_BYTES = 16 * 1024
private const val DEFAULT_BODY_BYTES = 4 * 1024 * 1024
private const val DEFAULT_HEADER_TIMEOUT_MILLIS = 3_000L
private const val DEFAULT_IDLE_TIMEOUT_MILLIS = 15_000L

/** A name of one letter, a colon and the line end. */
private const val SHORTEST_HEADER_LINE_BYTES = 4

data class CallerLimits(
    val headerBytes: Int = DEFAULT_HEADER_BYTES,
    val bodyBytes: Int = DEFAULT_BODY_BYTES,
    val headerTimeoutMillis: Long = DEFAULT_HEADER_TIMEOUT_MILLIS,
    val idleTimeoutMillis: Long = DEFAULT_IDLE_TIMEOUT_MILLIS,
    /** Header lines, and trailer lines, of a request. By default as many as [headerBytes] can hold. */
    val headerLines: Int = headerBytes / SHORTEST_HEADER_LINE_BYTES,
)
