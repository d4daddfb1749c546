/**
 * Sends entries in bounded batches as soon as they are appended, and a heartbeat to every peer at each interval. Each
 * broadcast increments the round, and the answers to it confirm the reads that were requested before it.
 */
package org.ibismoor.consensus.internal

import org.ibismoor.consensus.api.AppendEntries
import org.ibismoor.consensus.api.ConsensusEntry
import org.ibismoor.consensus.api.ConsensusSettings
import org.ibismoor.consensus.api.ConsensusTables
import org.ibismoor.consensus.api.SendMessage
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.Step

internal class EntrySender(private val settings: ConsensusSettings) {
    fun sendDue(tables: ConsensusTables): ConsensusStep {
        val leadership = tables.leadership
        return when {
            leadership == null -> Step(tables)
            tables.now < leadership.heartbeatDue -> sendToPeers(tables, isHeartbeat = false)
            else -> {
                val due = tables.now + settings.heartbeatMillis
                val next = leadership.copy(round = leadership.round + 1, heartbeatDue = due)
                sendToPeers(tables.copy(leadership = next), isHeartbeat = true)
            }
        }
    }

    private fun sendToPeers(tables: ConsensusTables, isHeartbeat: Boolean): ConsensusStep =
        tables.runForEach(tables.leadership?.peers?.keys.orEmpty().sorted()) { t, peer ->
            sendToPeer(t, peer, isHeartbeat)
        }

    private fun sendToPeer(tables: ConsensusTables, replica: ReplicaId, isHeartbeat: Boolean): ConsensusStep {
        val peer = checkNotNull(tables.leadership?.peers?.get(replica))
        val needsSnapshot = peer.nextIndex <= tables.log.baseIndex
        return when {
            needsSnapshot -> if (isHeartbeat) sendMinimalHeartbeat(tables, replica) else Step(tables)
            canSendEntries(tables, peer) -> sendEntries(tables, replica, peer)
            isHeartbeat || peer.isProbeDue -> sendWithoutEntries(tables, replica, peer)
            else -> Step(tables)
        }
    }

    private fun canSendEntries(tables: ConsensusTables, peer: PeerRow): Boolean {
        val isDue = !peer.isProbing && peer.nextIndex <= tables.log.lastIndex
        return isDue && isWindowOpen(tables, peer)
    }

    private fun isWindowOpen(tables: ConsensusTables, peer: PeerRow): Boolean {
        val entries = peer.nextIndex - peer.matchIndex
        val characters = tables.log.charactersBetween(peer.matchIndex, peer.nextIndex - 1)
        return entries <= ConsensusSettings.MAXIMUM_UNACKNOWLEDGED_ENTRIES &&
            characters <= ConsensusSettings.MAXIMUM_UNACKNOWLEDGED_CHARACTERS
    }

    private fun sendEntries(tables: ConsensusTables, replica: ReplicaId, peer: PeerRow): ConsensusStep {
        val entries = nextBatch(tables, peer.nextIndex)
        val sent = peer.copy(nextIndex = entries.last().index + 1, isProbeDue = false)
        val step = Step(
            tables.withPeer(replica, sent),
            listOf(SendMessage(replica, appendMessage(tables, peer.nextIndex - 1, entries))),
        )
        return if (canSendEntries(tables, sent)) step.then { sendEntries(it, replica, sent) } else step
    }

    private fun nextBatch(tables: ConsensusTables, first: Long): List<ConsensusEntry> {
        val last = minOf(tables.log.lastIndex, first + ConsensusSettings.MAXIMUM_BATCH_ENTRIES - 1)
        val entries = mutableListOf(tables.log.entry(first))
        var characters = entries.first().payloadCharacters
        while (entries.last().index < last && characters < ConsensusSettings.MAXIMUM_BATCH_CHARACTERS) {
            val entry = tables.log.entry(entries.last().index + 1)
            characters += entry.payloadCharacters
            if (characters <= ConsensusSettings.MAXIMUM_BATCH_CHARACTERS) entries += entry
        }
        return entries
    }

    private fun sendWithoutEntries(tables: ConsensusTables, replica: ReplicaId, peer: PeerRow): ConsensusStep {
        val message = appendMessage(tables, peer.nextIndex - 1, emptyList())
        return Step(tables.withPeer(replica, peer.copy(isProbeDue = false)), listOf(SendMessage(replica, message)))
    }

    /** Keeps a peer that needs a snapshot from starting an election. Every log matches at index 0. */
    private fun sendMinimalHeartbeat(tables: ConsensusTables, replica: ReplicaId): ConsensusStep =
        Step(tables, listOf(SendMessage(replica, appendMessage(tables, 0, emptyList()))))

    private fun appendMessage(tables: ConsensusTables, previous: Long, entries: List<ConsensusEntry>): AppendEntries =
        AppendEntries(
            term = tables.term,
            previousIndex = previous,
            previousTerm = tables.log.termAt(previous) ?: 0,
            entries = entries,
            commitIndex = tables.commitIndex,
            round = tables.leadership?.round ?: 0,
        )
}
