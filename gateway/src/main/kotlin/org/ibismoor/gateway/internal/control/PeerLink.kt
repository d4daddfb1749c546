/**
 * Sends consensus messages to one replica, one batch at a time. Messages that arrive meanwhile are queued for the next
 * batch. A full queue drops its oldest message, since the consensus module retransmits what is still needed.
 */
package org.ibismoor.gateway.internal.control

import kotlinx.serialization.Serializable
import org.ibismoor.consensus.api.ConsensusMessage
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.gateway.internal.InternalJson
import org.ibismoor.gateway.internal.InternalPaths
import org.ibismoor.gateway.internal.net.JsonClient

private const val MAXIMUM_QUEUED_MESSAGES = 64
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
        val body = InternalJson.encodeToString(PeerBatch(from, to, queue.toList()))
        queue.clear()
        client.call(address, "POST", InternalPaths.CONSENSUS, body, TIMEOUT_MILLIS)
            .whenComplete { _, _ -> finishBatch() }
    }

    @Synchronized
    private fun finishBatch() {
        isSending = false
        sendBatch()
    }
}
