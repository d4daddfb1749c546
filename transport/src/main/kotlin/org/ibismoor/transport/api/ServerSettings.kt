/**
 * Settings of an HTTP server. Port 0 selects a free port. [maximumRequests] limits concurrent requests, each handled by
 * one thread; further requests get status 503. [stopTimeoutMillis] limits the wait for running requests on shutdown.
 */
package org.ibismoor.transport.api

private const val DEFAULT_MAXIMUM_REQUESTS = 2_000
private const val DEFAULT_STOP_TIMEOUT_MILLIS = 5_000L

data class ServerSettings(
    val host: String,
    val port: Int,
    val limits: HttpLimits = HttpLimits(),
    val maximumRequests: Int = DEFAULT_MAXIMUM_REQUESTS,
    val stopTimeoutMillis: Long = DEFAULT_STOP_TIMEOUT_MILLIS,
)
