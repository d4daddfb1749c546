/**
 * Changes of term and leadership, and what only a leader does to its log.
 */
package org.ibismoor.consensus.internal

import org.ibismoor.consensus.api.ConsensusEffect
import org.ibismoor.consensus.api.ConsensusEntry
import org.ibismoor.consensus.api.ConsensusSettings
import org.ibismoor.consensus.api.ConsensusTables
import org.ibismoor.consensus.api.EntriesRecord
import org.ibismoor.consensus.api.EntryContent
import org.ibismoor.consensus.api.ProposalRefusal
import org.ibismoor.consensus.api.RefuseProposal
import org.ibismoor.consensus.api.VoteRecord
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.Step

/** Draws the next election timeout. */
internal fun ConsensusTables.resetElection(settings: ConsensusSettings): ConsensusTables {
    val spread = settings.maximumElectionMillis - settings.minimumElectionMillis + 1
    val timeout = settings.minimumElectionMillis + random.below(spread)
    return copy(electionDue = now + timeout, random = random.advance())
}

/** Follows [term] if it is newer than the own one. */
internal fun ConsensusTables.adoptTerm(term: Long, settings: ConsensusSettings): ConsensusStep =
    if (term <= this.term) {
        Step(this)
    } else {
        val step = stepDown(settings)
        Step(
            step.tables.copy(term = term, votedFor = null, leader = null, candidacy = null),
            step.effects + persist(VoteRecord(term, null)),
        )
    }

/** Stops leading. Proposals that are not committed are refused as open. */
internal fun ConsensusTables.stepDown(settings: ConsensusSettings): ConsensusStep =
    if (leadership == null) {
        Step(this)
    } else {
        val open = leadership.proposals.entries.sortedBy { it.key }
            .map { RefuseProposal(it.value, null, ProposalRefusal.OUTCOME_UNKNOWN) }
        val reads = leadership.reads.map { RefuseProposal(it.read, null) }
        Step(copy(leadership = null, leader = null, leaderHeardAt = null).resetElection(settings), open + reads)
    }

/** Appends an entry of the own term. */
internal fun ConsensusTables.appendOwn(content: EntryContent): ConsensusStep {
    val entries = listOf(ConsensusEntry(log.lastIndex + 1, term, content))
    val effects = listOf<ConsensusEffect>(persist(EntriesRecord(entries)))
    return Step(append(entries).syncPeers(), effects)
}

/** Keeps a progress row for each other member. */
private fun ConsensusTables.syncPeers(): ConsensusTables {
    val rows = leadership?.peers
    val wanted = members.map { it.replica }.filter { it != self }
    return if (rows == null || rows.keys == wanted.toSet()) {
        this
    } else {
        val gone = rows.keys.filter { it !in wanted }
        val kept = gone.fold(rows) { peers, replica -> peers.remove(replica) }
        val peers = wanted.filter { it !in kept }.fold(kept) { all, replica -> all.put(replica, newPeer()) }
        copy(leadership = leadership?.copy(peers = peers))
    }
}

internal fun ConsensusTables.newPeer(): PeerRow = PeerRow(nextIndex = log.lastIndex + 1, heardAt = now)

internal fun ConsensusTables.withPeer(replica: ReplicaId, row: PeerRow): ConsensusTables =
    copy(leadership = leadership?.let { it.copy(peers = it.peers.put(replica, row)) })

/** Makes the next broadcast due at once. */
internal fun ConsensusTables.hurryHeartbeat(): ConsensusTables =
    copy(leadership = leadership?.copy(heartbeatDue = now))
