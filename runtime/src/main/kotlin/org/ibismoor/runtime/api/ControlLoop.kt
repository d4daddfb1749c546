/**
 * Owns the tables of one process and runs its machine. One coroutine waits for messages or for the next due time,
 * runs one tick and passes the tables and effects to the [EffectHandler]. Run it on a single-threaded dispatcher in
 * production and on a test dispatcher with virtual time in tests. Other threads only call [post] and read [tables].
 */
package org.ibismoor.runtime.api

import kotlinx.coroutines.ExperimentalCoroutinesApi
import kotlinx.coroutines.channels.Channel
import kotlinx.coroutines.channels.ChannelResult
import kotlinx.coroutines.selects.onTimeout
import kotlinx.coroutines.selects.select
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickMachine
import kotlin.time.Duration.Companion.milliseconds

/** Further messages wait for the next tick, so that a long queue does not delay due work. */
private const val MAXIMUM_MESSAGES_PER_TICK = 1_000

class ControlLoop<S, M, E>(
    private val machine: TickMachine<S, M, E>,
    initial: S,
    private val clock: RuntimeClock,
    private val effects: EffectHandler<S, E>,
) {
    private val queue = Channel<M>(Channel.UNLIMITED)

    /** Tables after the last tick. They are immutable, so any thread may read them. */
    @Volatile
    var tables: S = initial
        private set

    /** Queues [message] for the next tick. Any thread may call this; it never blocks. */
    fun post(message: M) {
        queue.trySend(message)
    }

    /** Ends [run] after the messages queued so far. */
    fun close() {
        queue.close()
    }

    /** Runs ticks until [close]. An exception of the machine or of an effect ends the loop and is rethrown. */
    suspend fun run() {
        var isOpen = true
        while (isOpen) {
            val messages = receiveMessages()
            isOpen = messages != null
            tick(messages.orEmpty())
        }
    }

    private fun tick(messages: List<M>) {
        val step = machine.run(tables, Tick(clock.now(), clock.wallTime(), messages))
        tables = step.tables
        effects.perform(step.tables, step.effects)
    }

    /** Messages to handle now; empty when work is due; null when the queue is closed. */
    private suspend fun receiveMessages(): List<M>? {
        val first = receiveBeforeDue()
        return when {
            first == null -> emptyList()
            first.isClosed -> null
            else -> receiveQueued(first.getOrThrow())
        }
    }

    private fun receiveQueued(first: M): List<M> {
        val messages = mutableListOf(first)
        while (messages.size < MAXIMUM_MESSAGES_PER_TICK) {
            messages += queue.tryReceive().getOrNull() ?: break
        }
        return messages
    }

    /**
     * Null when work is due. A select takes either the message or the timeout, so a message that arrives at the due
     * time is not lost, as it could be if a timeout cancelled a plain receive.
     */
    @OptIn(ExperimentalCoroutinesApi::class)
    private suspend fun receiveBeforeDue(): ChannelResult<M>? {
        val due = machine.nextDue(tables) ?: return queue.receiveCatching()
        return select {
            queue.onReceiveCatching { it }
            onTimeout((due - clock.now()).milliseconds) { null }
        }
    }
}
