/**
 * Settings of an HTTP server. Port 0 takes a free port. [maximumRequests] bounds the requests that are handled at the
 * same time, each by one thread; more are answered with status 503. [stopMillis] bounds the wait for running requests
 * when the server stops.
 */
package org.ibismoor.transport.api

private const val DEFAULT_MAXIMUM_REQUESTS = 2_000
private const val DEFAULT_STOP_MILLIS = 5_000L

data class ServerSettings(
    val host: String,
    val port: Int,
    val limits: HttpLimits = HttpLimits(),
    val maximumRequests: Int = DEFAULT_MAXIMUM_REQUESTS,
    val stopMillis: Long = DEFAULT_STOP_MILLIS,
)
