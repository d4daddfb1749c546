/**
 * Sends entries in bounded batches as soon as they are appended, and a heartbeat to every peer each interval. Each
 * broadcast has the next round, so its answers confirm the reads that came before it.
 */
package org.ibismoor.consensus.internal

import org.ibismoor.consensus.api.AppendEntries
import org.ibismoor.consensus.api.CommandContent
import org.ibismoor.consensus.api.ConsensusEntry
import org.ibismoor.consensus.api.ConsensusSettings
import org.ibismoor.consensus.api.ConsensusTables
import org.ibismoor.consensus.api.LeaderContent
import org.ibismoor.consensus.api.MembersContent
import org.ibismoor.consensus.api.SendMessage
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.Step

internal class EntrySender(private val settings: ConsensusSettings) {
    fun send(tables: ConsensusTables): ConsensusStep {
        val leadership = tables.leadership
        return when {
            leadership == null -> Step(tables)
            tables.now < leadership.heartbeatDue -> sendAll(tables, isHeartbeat = false)
            else -> {
                val due = tables.now + settings.heartbeatMillis
                val next = leadership.copy(round = leadership.round + 1, heartbeatDue = due)
                sendAll(tables.copy(leadership = next), isHeartbeat = true)
            }
        }
    }

    private fun sendAll(tables: ConsensusTables, isHeartbeat: Boolean): ConsensusStep =
        tables.forEach(tables.leadership?.peers?.keys.orEmpty().sorted()) { t, peer -> sendTo(t, peer, isHeartbeat) }

    private fun sendTo(tables: ConsensusTables, replica: ReplicaId, isHeartbeat: Boolean): ConsensusStep {
        val peer = checkNotNull(tables.leadership?.peers?.get(replica))
        val isBehindLog = peer.nextIndex <= tables.log.beforeIndex
        return when {
            isBehindLog -> if (isHeartbeat) sendContact(tables, replica) else Step(tables)
            isSendable(tables, peer) -> sendEntries(tables, replica, peer)
            isHeartbeat || peer.isProbeDue -> sendEmpty(tables, replica, peer)
            else -> Step(tables)
        }
    }

    private fun isSendable(tables: ConsensusTables, peer: PeerRow): Boolean {
        val unacknowledged = peer.nextIndex - peer.matchIndex
        val isWindowOpen = unacknowledged <= ConsensusSettings.MAXIMUM_UNACKNOWLEDGED_ENTRIES
        return !peer.isProbing && peer.nextIndex <= tables.log.lastIndex && isWindowOpen
    }

    private fun sendEntries(tables: ConsensusTables, replica: ReplicaId, peer: PeerRow): ConsensusStep {
        val entries = batch(tables, peer.nextIndex)
        val sent = peer.copy(nextIndex = entries.last().index + 1, isProbeDue = false)
        val step = Step(
            tables.withPeer(replica, sent),
            listOf(SendMessage(replica, message(tables, peer.nextIndex - 1, entries))),
        )
        return if (isSendable(tables, sent)) step.then { sendEntries(it, replica, sent) } else step
    }

    private fun batch(tables: ConsensusTables, first: Long): List<ConsensusEntry> {
        val last = minOf(tables.log.lastIndex, first + ConsensusSettings.BATCH_ENTRIES - 1)
        val entries = mutableListOf(tables.log.entry(first))
        var characters = characters(entries.first())
        while (entries.last().index < last && characters < ConsensusSettings.BATCH_CHARACTERS) {
            val entry = tables.log.entry(entries.last().index + 1)
            characters += characters(entry)
            if (characters <= ConsensusSettings.BATCH_CHARACTERS) entries += entry
        }
        return entries
    }

    private fun characters(entry: ConsensusEntry): Int =
        when (val content = entry.content) {
            is CommandContent -> content.payload.length
            is MembersContent, is LeaderContent -> 0
        }

    private fun sendEmpty(tables: ConsensusTables, replica: ReplicaId, peer: PeerRow): ConsensusStep {
        val message = message(tables, peer.nextIndex - 1, emptyList())
        return Step(tables.withPeer(replica, peer.copy(isProbeDue = false)), listOf(SendMessage(replica, message)))
    }

    /** A peer that needs a snapshot is kept from standing for election; index 0 is in every log. */
    private fun sendContact(tables: ConsensusTables, replica: ReplicaId): ConsensusStep =
        Step(tables, listOf(SendMessage(replica, message(tables, 0, emptyList()))))

    private fun message(tables: ConsensusTables, previous: Long, entries: List<ConsensusEntry>): AppendEntries =
        AppendEntries(
            term = tables.term,
            previousIndex = previous,
            previousTerm = tables.log.termAt(previous) ?: 0,
            entries = entries,
            commitIndex = tables.commitIndex,
            round = tables.leadership?.round ?: 0,
        )
}
