/**
 * Timeouts of an HTTP client in milliseconds and its maximum number of concurrent calls. [callTimeoutMillis] applies to
 * a whole call and is disabled by 0; [readTimeoutMillis] applies to each read of an answer.
 */
package org.ibismoor.transport.api

private const val DEFAULT_CONNECT_TIMEOUT_MILLIS = 1_000L
private const val DEFAULT_READ_TIMEOUT_MILLIS = 2_000L
private const val DEFAULT_CALL_TIMEOUT_MILLIS = 2_000L
private const val DEFAULT_MAXIMUM_CALLS = 256

data class ClientSettings(
    val connectTimeoutMillis: Long = DEFAULT_CONNECT_TIMEOUT_MILLIS,
    val readTimeoutMillis: Long = DEFAULT_READ_TIMEOUT_MILLIS,
    val callTimeoutMillis: Long = DEFAULT_CALL_TIMEOUT_MILLIS,
    val maximumCalls: Int = DEFAULT_MAXIMUM_CALLS,
)
