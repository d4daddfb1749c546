/**
 * Sends typed messages to other processes without blocking and without retries.
 */
package org.ibismoor.transport.api

import kotlinx.serialization.DeserializationStrategy
import kotlinx.serialization.SerializationStrategy
import kotlinx.serialization.serializer
import java.util.concurrent.CompletableFuture

interface InternalClient : AutoCloseable {
    fun <Q, A> postJson(
        url: String,
        request: Q,
        requestSerializer: SerializationStrategy<Q>,
        answerSerializer: DeserializationStrategy<A>,
    ): CompletableFuture<CallResult<A>>

    fun <A> getJson(url: String, answerSerializer: DeserializationStrategy<A>): CompletableFuture<CallResult<A>>
}

inline fun <reified Q, reified A> InternalClient.postJson(
    url: String,
    request: Q,
): CompletableFuture<CallResult<A>> = postJson(url, request, serializer<Q>(), serializer<A>())

inline fun <reified A> InternalClient.getJson(url: String): CompletableFuture<CallResult<A>> =
    getJson(url, serializer<A>())
