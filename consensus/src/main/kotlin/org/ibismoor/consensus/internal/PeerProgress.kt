/**
 * Tracks which entries the peers hold. An answer that arrives after a newer one updates only the time of contact.
 */
package org.ibismoor.consensus.internal

import org.ibismoor.consensus.api.ConsensusTables
import org.ibismoor.consensus.api.EntriesAppended
import org.ibismoor.core.api.ReplicaId

internal class PeerProgress {
    fun recordAnswer(tables: ConsensusTables, from: ReplicaId, answer: EntriesAppended): ConsensusTables {
        val peer = tables.leadership?.peers?.get(from)
        val isCurrent = peer != null && answer.term == tables.term && answer.matchIndex in 0..tables.log.lastIndex
        return if (peer != null && isCurrent) {
            val contacted = peer.copy(lastContactAt = tables.now, round = maxOf(peer.round, answer.round))
            tables.withPeer(from, if (answer.isMatch) withMatch(contacted, answer) else withMismatch(contacted, answer))
        } else {
            tables
        }
    }

    private fun withMatch(peer: PeerRow, answer: EntriesAppended): PeerRow {
        val match = maxOf(peer.matchIndex, answer.matchIndex)
        return peer.copy(matchIndex = match, nextIndex = maxOf(peer.nextIndex, match + 1), isProbing = false)
    }

    private fun withMismatch(peer: PeerRow, answer: EntriesAppended): PeerRow {
        val next = minOf(peer.nextIndex, answer.matchIndex + 1)
        val isStale = next <= peer.matchIndex
        return if (isStale) peer else peer.copy(nextIndex = next, isProbing = true, isProbeDue = true)
    }
}
