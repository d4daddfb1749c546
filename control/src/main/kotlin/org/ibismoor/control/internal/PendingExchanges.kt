/**
 * Exchanges that wait for an answer of the control thread, by reply number. A traffic thread opens one, posts a message
 * with its number and waits; the control thread completes it.
 */
package org.ibismoor.control.internal

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.ibismoor.fleet.api.ControlEffect
import java.util.concurrent.CompletableFuture
import java.util.concurrent.TimeUnit
import java.util.concurrent.TimeoutException
import java.util.concurrent.atomic.AtomicLong
import java.util.concurrent.atomic.AtomicReference

internal class PendingExchanges {
    private val nextNumber = AtomicLong(1)
    private val waiting =
        AtomicReference<PersistentMap<Long, CompletableFuture<ControlEffect>>>(persistentHashMapOf())

    val size: Int get() = waiting.get().size

    /** Calls [post] with a new reply number and waits for the answer; null if there is none within [timeoutMillis]. */
    fun exchange(timeoutMillis: Long, post: (Long) -> Unit): ControlEffect? {
        val number = nextNumber.getAndIncrement()
        val answer = CompletableFuture<ControlEffect>()
        waiting.updateAndGet { it.put(number, answer) }
        return try {
            post(number)
            answer.get(timeoutMillis, TimeUnit.MILLISECONDS)
        } catch (_: TimeoutException) {
            null
        } finally {
            waiting.updateAndGet { it.remove(number) }
        }
    }

    /** Drops the answer if the exchange has timed out. */
    fun complete(number: Long, answer: ControlEffect) {
        waiting.get()[number]?.complete(answer)
    }
}
