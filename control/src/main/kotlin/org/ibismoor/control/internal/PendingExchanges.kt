/**
 * The exchanges that wait for an answer of the control thread, by reply number. Traffic threads open one, post a
 * message with its number and wait; the control thread completes it.
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

internal class ReplyBoard {
    private val nextNumber = AtomicLong(1)
    private val waiting =
        AtomicReference<PersistentMap<Long, CompletableFuture<ControlEffect>>>(persistentHashMapOf())

    /** Exchanges without an answer. */
    val size: Int get() = waiting.get().size

    /** Calls [post] with a fresh number and waits for its answer; null if there is none within [millis]. */
    fun exchange(millis: Long, post: (Long) -> Unit): ControlEffect? {
        val number = nextNumber.getAndIncrement()
        val answer = CompletableFuture<ControlEffect>()
        waiting.updateAndGet { it.put(number, answer) }
        return try {
            post(number)
            answer.get(millis, TimeUnit.MILLISECONDS)
        } catch (_: TimeoutException) {
            null
        } finally {
            waiting.updateAndGet { it.remove(number) }
        }
    }

    /** An answer that nobody waits for any more is dropped. */
    fun complete(number: Long, answer: ControlEffect) {
        waiting.get()[number]?.complete(answer)
    }
}
