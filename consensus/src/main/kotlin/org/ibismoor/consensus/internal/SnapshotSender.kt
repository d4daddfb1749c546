/**
 * Sends a snapshot in parts, the next one after each answer. A part without an answer is sent again. A transfer is not
 * restarted for a newer snapshot, because on a slow link it might then never complete.
 */
package org.ibismoor.consensus.internal

import org.ibismoor.consensus.api.ConsensusSettings
import org.ibismoor.consensus.api.ConsensusTables
import org.ibismoor.consensus.api.SendMessage
import org.ibismoor.consensus.api.SnapshotPart
import org.ibismoor.consensus.api.SnapshotReceived
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.Step

internal class SnapshotSender(private val settings: ConsensusSettings) {
    fun recordAnswer(tables: ConsensusTables, from: ReplicaId, answer: SnapshotReceived): ConsensusTables {
        val peer = tables.leadership?.peers?.get(from)
        val outgoing = peer?.outgoing?.takeIf { answer.term == tables.term && it.snapshot.index == answer.index }
        return if (peer == null || outgoing == null) {
            tables
        } else {
            tables.withPeer(from, withAnswer(tables, peer, outgoing, answer))
        }
    }

    private fun withAnswer(
        tables: ConsensusTables,
        peer: PeerRow,
        outgoing: OutgoingSnapshot,
        answer: SnapshotReceived,
    ): PeerRow {
        val contacted = peer.copy(lastContactAt = tables.now)
        val hasProgress = answer.received != outgoing.offset && answer.received in 0..outgoing.snapshot.payload.length
        return when {
            answer.isInstalled -> contacted.copy(
                matchIndex = maxOf(peer.matchIndex, answer.index),
                nextIndex = maxOf(peer.nextIndex, answer.index + 1),
                isProbing = false,
                outgoing = null,
            )
            hasProgress -> contacted.copy(outgoing = outgoing.copy(offset = answer.received, due = tables.now))
            else -> contacted
        }
    }

    fun sendDueParts(tables: ConsensusTables): ConsensusStep =
        tables.runForEach(tables.leadership?.peers?.entries.orEmpty()) { t, (replica, peer) ->
            val needsSnapshot = peer.nextIndex <= t.log.baseIndex
            val outgoing = peer.outgoing ?: OutgoingSnapshot(t.snapshot, 0, t.now)
            when {
                !needsSnapshot && peer.outgoing != null -> Step(t.withPeer(replica, peer.copy(outgoing = null)))
                needsSnapshot && t.now >= outgoing.due -> sendPart(t, replica, peer, outgoing)
                else -> Step(t)
            }
        }

    private fun sendPart(
        tables: ConsensusTables,
        replica: ReplicaId,
        peer: PeerRow,
        outgoing: OutgoingSnapshot,
    ): ConsensusStep {
        val due = tables.now + settings.minimumElectionMillis
        val sent = tables.withPeer(replica, peer.copy(outgoing = outgoing.copy(due = due)))
        return Step(sent, listOf(SendMessage(replica, nextPart(tables.term, outgoing))))
    }

    private fun nextPart(term: Long, outgoing: OutgoingSnapshot): SnapshotPart {
        val snapshot = outgoing.snapshot
        val end = partEnd(snapshot.payload, outgoing.offset)
        return SnapshotPart(
            term = term,
            index = snapshot.index,
            indexTerm = snapshot.term,
            members = snapshot.members,
            offset = outgoing.offset,
            part = snapshot.payload.substring(outgoing.offset, end),
            isLast = end == snapshot.payload.length,
        )
    }

    /** A part never ends within a surrogate pair, because half of a pair cannot be encoded. */
    private fun partEnd(payload: String, offset: Int): Int {
        val end = minOf(payload.length, offset + settings.snapshotPartCharacters)
        val isWithinPair = end < payload.length && payload[end - 1].isHighSurrogate() && end - 1 > offset
        return if (isWithinPair) end - 1 else end
    }
}
