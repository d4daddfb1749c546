/**
 * Time limits of an HTTP client in milliseconds. [callMillis] bounds a whole call, 0 means no bound; [readMillis]
 * bounds the wait for each next part of an answer.
 */
package org.ibismoor.transport.api

private const val DEFAULT_CONNECT_MILLIS = 1_000L
private const val DEFAULT_READ_MILLIS = 2_000L
private const val DEFAULT_CALL_MILLIS = 2_000L
private const val DEFAULT_CALLS = 256

data class ClientSettings(
    val connectMillis: Long = DEFAULT_CONNECT_MILLIS,
    val readMillis: Long = DEFAULT_READ_MILLIS,
    val callMillis: Long = DEFAULT_CALL_MILLIS,
    val maximumCalls: Int = DEFAULT_CALLS,
)
