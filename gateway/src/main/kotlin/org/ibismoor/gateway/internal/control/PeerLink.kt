/**
 * Sends consensus messages to one replica, one batch of limited size at a time, so that a link can carry it within the
 * timeout. Messages that arrive meanwhile are queued for the next batches. A full queue drops its oldest message, since
 * the consensus module retransmits what is still needed.
 */
package org.ibismoor.gateway.internal.control

import kotlinx.serialization.Serializable
import org.ibismoor.consensus.api.AppendEntries
import org.ibismoor.consensus.api.CommandContent
import org.ibismoor.consensus.api.ConsensusMessage
import org.ibismoor.consensus.api.SnapshotPart
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.gateway.internal.InternalJson
import org.ibismoor.gateway.internal.InternalPaths
import org.ibismoor.gateway.internal.net.JsonClient

private const val MAXIMUM_QUEUED_MESSAGES = 64
private const val MAXIMUM_BATCH_CHARACTERS = 256 * 1024
private const val TIMEOUT_MILLIS = 400L

@Serializable
internal data class PeerBatch(val from: ReplicaId, val to: ReplicaId, val messages: List<ConsensusMessage>)

internal class PeerLink(
    private val from: ReplicaId,
    private val to: ReplicaId,
    private val address: String,
    private val client: JsonClient,
) {
    private val queue = ArrayDeque<ConsensusMessage>()
    private var isSending = false

    @Synchronized
    fun send(message: ConsensusMessage) {
        if (queue.size >= MAXIMUM_QUEUED_MESSAGES) queue.removeFirst()
        queue.addLast(message)
        if (!isSending) sendBatch()
    }

    private fun sendBatch() {
        if (queue.isEmpty()) return
        isSending = true
        val body = InternalJson.encodeToString(PeerBatch(from, to, takeBatch()))
        client.call(address, "POST", InternalPaths.CONSENSUS, body, TIMEOUT_MILLIS)
            .whenComplete { _, _ -> finishBatch() }
    }

    /** At least one message, since a single one cannot be divided. */
    private fun takeBatch(): List<ConsensusMessage> {
        val batch = mutableListOf(queue.removeFirst())
        var characters = batch.first().payloadCharacters()
        while (queue.isNotEmpty()) {
            characters += queue.first().payloadCharacters()
            if (characters > MAXIMUM_BATCH_CHARACTERS) break
            batch += queue.removeFirst()
        }
        return batch
    }

    @Synchronized
    private fun finishBatch() {
        isSending = false
        sendBatch()
    }
}

/** Size of the content that can be large; the rest of a message is small. */
private fun ConsensusMessage.payloadCharacters(): Int =
    when (this) {
        is AppendEntries -> entries.sumOf { entry -> (entry.content as? CommandContent)?.payload?.length ?: 0 }
        is SnapshotPart -> part.length
        else -> 0
    }
