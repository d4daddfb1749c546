/**
 * Sends a snapshot part by part; each answer asks for the next part. A part without an answer is sent again. A newer
 * snapshot taken meanwhile does not restart the transfer, which could then never end on a slow link.
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
    fun note(tables: ConsensusTables, from: ReplicaId, answer: SnapshotReceived): ConsensusTables {
        val peer = tables.leadership?.peers?.get(from)
        val outgoing = peer?.outgoing?.takeIf { answer.term == tables.term && it.snapshot.index == answer.index }
        return if (peer == null || outgoing == null) {
            tables
        } else {
            tables.withPeer(from, answered(tables, peer, outgoing, answer))
        }
    }

    private fun answered(
        tables: ConsensusTables,
        peer: PeerRow,
        outgoing: OutgoingSnapshot,
        answer: SnapshotReceived,
    ): PeerRow {
        val heard = peer.copy(heardAt = tables.now)
        val isMoving = answer.received != outgoing.offset && answer.received in 0..outgoing.snapshot.payload.length
        return when {
            answer.isInstalled -> heard.copy(
                matchIndex = maxOf(peer.matchIndex, answer.index),
                nextIndex = maxOf(peer.nextIndex, answer.index + 1),
                isProbing = false,
                outgoing = null,
            )
            isMoving -> heard.copy(outgoing = outgoing.copy(offset = answer.received, due = tables.now))
            else -> heard
        }
    }

    fun send(tables: ConsensusTables): ConsensusStep =
        tables.forEach(tables.leadership?.peers?.entries.orEmpty()) { t, (replica, peer) ->
            val isBehindLog = peer.nextIndex <= t.log.beforeIndex
            val outgoing = peer.outgoing ?: OutgoingSnapshot(t.snapshot, 0, t.now)
            when {
                !isBehindLog && peer.outgoing != null -> Step(t.withPeer(replica, peer.copy(outgoing = null)))
                isBehindLog && t.now >= outgoing.due -> sendPart(t, replica, peer, outgoing)
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
        return Step(sent, listOf(SendMessage(replica, part(tables.term, outgoing))))
    }

    private fun part(term: Long, outgoing: OutgoingSnapshot): SnapshotPart {
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

    /** A part ends between characters, never within a surrogate pair, which an encoder could not represent. */
    private fun partEnd(payload: String, offset: Int): Int {
        val end = minOf(payload.length, offset + settings.snapshotPartCharacters)
        val isWithinPair = end < payload.length && payload[end - 1].isHighSurrogate() && end - 1 > offset
        return if (isWithinPair) end - 1 else end
    }
}
