/**
 * Factories of HTTP clients based on OkHttp. The clients neither follow redirects nor retry requests: whether a
 * request may be sent again is up to the code that uses them.
 */
package org.ibismoor.transport.api

import okhttp3.ConnectionPool
import okhttp3.Dispatcher
import okhttp3.OkHttpClient
import okhttp3.Protocol
import org.ibismoor.transport.internal.OkHttpInternalClient
import org.ibismoor.transport.internal.SendListener
import org.ibismoor.transport.internal.withoutErrorFollowUps
import java.util.concurrent.TimeUnit

/** Shorter than the idle timeout of the servers, so that a server rarely closes a pooled connection. */
private const val CONNECTION_KEEP_ALIVE_SECONDS = 30L

fun createInternalClient(settings: ClientSettings = ClientSettings()): InternalClient =
    OkHttpInternalClient(createOkHttpClient(settings))

/** For streamed answers, which are read through OkHttp directly. */
fun createOkHttpClient(settings: ClientSettings): OkHttpClient =
    OkHttpClient.Builder()
        .connectTimeout(settings.connectTimeoutMillis, TimeUnit.MILLISECONDS)
        .readTimeout(settings.readTimeoutMillis, TimeUnit.MILLISECONDS)
        .writeTimeout(settings.readTimeoutMillis, TimeUnit.MILLISECONDS)
        .callTimeout(settings.callTimeoutMillis, TimeUnit.MILLISECONDS)
        .retryOnConnectionFailure(false)
        .eventListener(SendListener)
        .followRedirects(false)
        .withoutErrorFollowUps()
        .protocols(listOf(Protocol.HTTP_1_1))
        .connectionPool(ConnectionPool(settings.maximumCalls, CONNECTION_KEEP_ALIVE_SECONDS, TimeUnit.SECONDS))
        .dispatcher(createDispatcher(settings.maximumCalls))
        .build()

private fun createDispatcher(maximumCalls: Int): Dispatcher =
    Dispatcher().apply {
        maxRequests = maximumCalls
        maxRequestsPerHost = maximumCalls
    }
