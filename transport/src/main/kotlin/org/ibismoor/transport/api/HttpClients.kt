/**
 * Makes HTTP clients over OkHttp. They follow no redirect and repeat no request on their own, since whether a request
 * may be sent again is decided elsewhere.
 */
package org.ibismoor.transport.api

import okhttp3.ConnectionPool
import okhttp3.Dispatcher
import okhttp3.OkHttpClient
import okhttp3.Protocol
import org.ibismoor.transport.internal.OkHttpInternalClient
import org.ibismoor.transport.internal.SendListener
import java.util.concurrent.TimeUnit

/** Shorter than the idle time of the servers, so that a pooled connection is rarely closed by the other side. */
private const val POOL_SECONDS = 30L

fun createInternalClient(settings: ClientSettings = ClientSettings()): InternalClient =
    OkHttpInternalClient(createOkHttpClient(settings))

/** For streams, whose callers use OkHttp directly. */
fun createOkHttpClient(settings: ClientSettings): OkHttpClient =
    OkHttpClient.Builder()
        .connectTimeout(settings.connectTimeoutMillis, TimeUnit.MILLISECONDS)
        .readTimeout(settings.readTimeoutMillis, TimeUnit.MILLISECONDS)
        .writeTimeout(settings.readTimeoutMillis, TimeUnit.MILLISECONDS)
        .callTimeout(settings.callTimeoutMillis, TimeUnit.MILLISECONDS)
        .retryOnConnectionFailure(false)
        .eventListener(SendListener)
        .followRedirects(false)
        .protocols(listOf(Protocol.HTTP_1_1))
        .connectionPool(ConnectionPool(settings.maximumCalls, POOL_SECONDS, TimeUnit.SECONDS))
        .dispatcher(dispatcherOf(settings.maximumCalls))
        .build()

private fun dispatcherOf(maximumCalls: Int): Dispatcher =
    Dispatcher().apply {
        maxRequests = maximumCalls
        maxRequestsPerHost = maximumCalls
    }
