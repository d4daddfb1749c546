/**
 * Controls when an engine stand-in generates its tokens.
 */
package org.ibismoor.standin.api

import java.util.concurrent.TimeUnit

fun interface TokenPace {
    /** Blocks until token [index] is due. [startNanos] is the `System.nanoTime()` at which the answer started. */
    fun awaitToken(index: Int, startNanos: Long)
}

/** First token after [firstTokenMillis], then [tokensPerSecond] for each answer, independent of other answers. */
fun steadyPace(firstTokenMillis: Long, tokensPerSecond: Double): TokenPace {
    val intervalNanos = TimeUnit.SECONDS.toNanos(1) / tokensPerSecond
    return TokenPace { index, startNanos ->
        val dueNanos = startNanos + TimeUnit.MILLISECONDS.toNanos(firstTokenMillis) + (index * intervalNanos).toLong()
        val remainingNanos = dueNanos - System.nanoTime()
        if (remainingNanos > 0) TimeUnit.NANOSECONDS.sleep(remainingNanos)
    }
}
