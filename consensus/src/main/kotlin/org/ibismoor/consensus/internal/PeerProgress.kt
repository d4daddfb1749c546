/**
 * Follows what the peers hold. An answer that was overtaken by a newer one changes nothing but the time of contact.
 */
package org.ibismoor.consensus.internal

import org.ibismoor.consensus.api.ConsensusTables
import org.ibismoor.consensus.api.EntriesAppended
import org.ibismoor.core.api.ReplicaId

internal class PeerProgress {
    fun note(tables: ConsensusTables, from: ReplicaId, answer: EntriesAppended): ConsensusTables {
        val peer = tables.leadership?.peers?.get(from)
        val isCurrent = peer != null && answer.term == tables.term && answer.matchIndex in 0..tables.log.lastIndex
        return if (peer != null && isCurrent) {
            val heard = peer.copy(heardAt = tables.now, round = maxOf(peer.round, answer.round))
            tables.withPeer(from, if (answer.isMatch) matched(heard, answer) else mismatched(heard, answer))
        } else {
            tables
        }
    }

    private fun matched(peer: PeerRow, answer: EntriesAppended): PeerRow {
        val match = maxOf(peer.matchIndex, answer.matchIndex)
        return peer.copy(matchIndex = match, nextIndex = maxOf(peer.nextIndex, match + 1), isProbing = false)
    }

    private fun mismatched(peer: PeerRow, answer: EntriesAppended): PeerRow {
        val next = minOf(peer.nextIndex, answer.matchIndex + 1)
        val isStale = next <= peer.matchIndex
        return if (isStale) peer else peer.copy(nextIndex = next, isProbing = true, isProbeDue = true)
    }
}
