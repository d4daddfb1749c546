/**
 * Sends messages to one peer in batches. At most one batch is in flight; messages queued meanwhile go into the next. A
 * batch that fails is dropped, since the senders of its messages repeat those that matter. The queue is bounded, and
 * the oldest messages are dropped first.
 */
package org.ibismoor.control.internal

import org.ibismoor.transport.api.CallResult
import java.util.concurrent.CompletableFuture

internal class PeerLink(
    private val onDropped: (Int) -> Unit,
    private val post: (List<PeerItem>) -> CompletableFuture<CallResult<Acknowledgement>>,
) {
    private var queue: List<PeerItem> = emptyList()
    private var isSending = false

    fun send(item: PeerItem) {
        if (enqueue(item)) sendNext()
    }

    /** True if no batch is in flight, so that the caller has to send the next one. */
    @Synchronized
    private fun enqueue(item: PeerItem): Boolean {
        val next = queue + item
        queue = next.takeLast(MAXIMUM_QUEUED)
        if (queue.size < next.size) onDropped(next.size - queue.size)
        val isIdle = !isSending
        isSending = true
        return isIdle
    }

    private fun sendNext() {
        val batch = takeBatch()
        if (batch.isNotEmpty()) {
            post(batch).whenComplete { result, _ ->
                if (result !is CallResult.Answered) onDropped(batch.size)
                sendNext()
            }
        }
    }

    @Synchronized
    private fun takeBatch(): List<PeerItem> {
        val batch = queue.take(MAXIMUM_BATCH)
        queue = queue.drop(batch.size)
        isSending = batch.isNotEmpty()
        return batch
    }

    private companion object {
        const val MAXIMUM_QUEUED = 1_000

        /** Sixteen of the largest consensus messages stay below the size limit of a request body. */
        const val MAXIMUM_BATCH = 16
    }
}
