/**
 * Keeps OkHttp's follow-up step from acting on the status of an error answer.
 */
package org.ibismoor.transport.internal

import okhttp3.Interceptor
import okhttp3.OkHttpClient
import okhttp3.Response

private const val FIRST_ERROR_STATUS = 400

/** Moves a status out of the range of HTTP, where OkHttp acts on none. */
private const val HIDDEN_STATUS_OFFSET = 1_000

/** Runs below the follow-up step. */
private val hideErrorStatus = Interceptor { chain ->
    val response = chain.proceed(chain.request())
    if (response.code < FIRST_ERROR_STATUS) response else response.withStatus(response.code + HIDDEN_STATUS_OFFSET)
}

/** Runs above the follow-up step. */
private val restoreErrorStatus = Interceptor { chain ->
    val response = chain.proceed(chain.request())
    if (response.code < HIDDEN_STATUS_OFFSET) response else response.withStatus(response.code - HIDDEN_STATUS_OFFSET)
}

private fun Response.withStatus(status: Int): Response = newBuilder().code(status).build()

/**
 * Hides error statuses from the follow-up step. It sends a request again after a 503 with `Retry-After: 0`, even with
 * `retryOnConnectionFailure(false)`, and reports a 407 of a server that is no proxy as a lost answer.
 */
internal fun OkHttpClient.Builder.withoutErrorFollowUps(): OkHttpClient.Builder =
    addInterceptor(restoreErrorStatus).addNetworkInterceptor(hideErrorStatus)
