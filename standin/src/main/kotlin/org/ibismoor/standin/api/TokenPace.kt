/**
 * Decides when an engine stand-in makes its tokens.
 */
package org.ibismoor.standin.api

import java.util.concurrent.TimeUnit

fun interface TokenPace {
    /** Waits until token [index] of an answer that began at [startNanos] of the system's nanosecond clock is made. */
    fun await(index: Int, startNanos: Long)
}

/** The first token after [firstTokenMillis], then [tokensPerSecond] for each answer, whatever the others do. */
fun steadyPace(firstTokenMillis: Long, tokensPerSecond: Double): TokenPace {
    val intervalNanos = TimeUnit.SECONDS.toNanos(1) / tokensPerSecond
    return TokenPace { index, startNanos ->
        val due = startNanos + TimeUnit.MILLISECONDS.toNanos(firstTokenMillis) + (index * intervalNanos).toLong()
        val wait = due - System.nanoTime()
        if (wait > 0) TimeUnit.NANOSECONDS.sleep(wait)
    }
}
