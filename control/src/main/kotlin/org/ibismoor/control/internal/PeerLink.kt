/**
 * Sends messages to one peer in batches: one batch is in flight, and what accumulates meanwhile is the next. A batch
 * that fails is dropped, since the sender of its messages repeats what matters. The waiting messages are bounded, and
 * the oldest are dropped first.
 */
package org.ibismoor.control.internal

import org.ibismoor.transport.api.CallResult
import java.util.concurrent.CompletableFuture

internal class PeerLink(
    private val onDropped: (Int) -> Unit,
    private val post: (List<PeerItem>) -> CompletableFuture<CallResult<Received>>,
) {
    private var waiting: List<PeerItem> = emptyList()
    private var isSending = false

    fun send(item: PeerItem) {
        if (enqueue(item)) sendNext()
    }

    /** Whether the caller has to send. */
    @Synchronized
    private fun enqueue(item: PeerItem): Boolean {
        val next = waiting + item
        waiting = next.takeLast(MAXIMUM_WAITING)
        if (waiting.size < next.size) onDropped(next.size - waiting.size)
        val isIdle = !isSending
        isSending = true
        return isIdle
    }

    private fun sendNext() {
        val batch = take()
        if (batch.isNotEmpty()) {
            post(batch).whenComplete { result, _ ->
                if (result !is CallResult.Answered) onDropped(batch.size)
                sendNext()
            }
        }
    }

    @Synchronized
    private fun take(): List<PeerItem> {
        val batch = waiting.take(MAXIMUM_BATCH)
        waiting = waiting.drop(batch.size)
        isSending = batch.isNotEmpty()
        return batch
    }

    private companion object {
        const val MAXIMUM_WAITING = 1_000

        /** Sixteen of the largest consensus messages stay below the limit of a body. */
        const val MAXIMUM_BATCH = 16
    }
}
