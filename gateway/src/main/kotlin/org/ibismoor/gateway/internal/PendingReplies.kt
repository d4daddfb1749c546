/**
 * Correlates messages to the control thread with its answers, by exchange number.
 */
package org.ibismoor.gateway.internal

import java.util.concurrent.CompletableFuture
import java.util.concurrent.ConcurrentHashMap
import java.util.concurrent.TimeUnit
import java.util.concurrent.atomic.AtomicLong

internal class PendingReplies<A : Any>(private val timeoutMillis: Long, private val timeoutAnswer: A) {
    private val nextNumber = AtomicLong(1)
    private val pending = ConcurrentHashMap<Long, CompletableFuture<A>>()

    /** Calls [post] with the number of a new exchange, which completes with [timeoutAnswer] after the timeout. */
    fun openExchange(post: (Long) -> Unit): CompletableFuture<A> {
        val number = nextNumber.getAndIncrement()
        val future = CompletableFuture<A>().completeOnTimeout(timeoutAnswer, timeoutMillis, TimeUnit.MILLISECONDS)
        pending[number] = future
        future.whenComplete { _, _ -> pending.remove(number) }
        post(number)
        return future
    }

    fun complete(number: Long, answer: A) {
        pending[number]?.complete(answer)
    }
}
