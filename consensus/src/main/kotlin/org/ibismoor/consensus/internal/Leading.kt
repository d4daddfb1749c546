/**
 * Changes of term and leadership, and of the log and peer rows of a leader.
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

/** Restarts the election timer with a random timeout. */
internal fun ConsensusTables.withNewElectionTimeout(settings: ConsensusSettings): ConsensusTables {
    val spread = settings.maximumElectionMillis - settings.minimumElectionMillis + 1
    val timeout = settings.minimumElectionMillis + random.below(spread)
    return copy(electionDue = now + timeout, random = random.advance())
}

/** Enters [term] if it is newer than the current one, without a vote in it. */
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

/** Gives up leadership. Uncommitted proposals are refused with an unknown outcome. */
internal fun ConsensusTables.stepDown(settings: ConsensusSettings): ConsensusStep =
    if (leadership == null) {
        Step(this)
    } else {
        val proposals = leadership.proposals.entries.sortedBy { it.key }
            .map { RefuseProposal(it.value, null, ProposalRefusal.OUTCOME_UNKNOWN) }
        val reads = leadership.reads.map { RefuseProposal(it.read, null) }
        val follower = copy(leadership = null, leader = null, lastLeaderContactAt = null)
        Step(follower.withNewElectionTimeout(settings), proposals + reads)
    }

/** Appends an entry of the current term to the log of a leader. */
internal fun ConsensusTables.appendInOwnTerm(content: EntryContent): ConsensusStep {
    val entries = listOf(ConsensusEntry(log.lastIndex + 1, term, content))
    val effects = listOf<ConsensusEffect>(persist(EntriesRecord(entries)))
    return Step(append(entries).withSyncedPeers(), effects)
}

/** Adds and removes peer rows so that there is one for each other member. */
private fun ConsensusTables.withSyncedPeers(): ConsensusTables {
    val rows = leadership?.peers
    val others = members.map { it.replica }.filter { it != self }
    return if (rows == null || rows.keys == others.toSet()) {
        this
    } else {
        val removed = rows.keys.filter { it !in others }
        val kept = removed.fold(rows) { peers, replica -> peers.remove(replica) }
        val peers = others.filter { it !in kept }.fold(kept) { all, replica -> all.put(replica, newPeerRow()) }
        copy(leadership = leadership?.copy(peers = peers))
    }
}

internal fun ConsensusTables.newPeerRow(): PeerRow = PeerRow(nextIndex = log.lastIndex + 1, lastContactAt = now)

internal fun ConsensusTables.withPeer(replica: ReplicaId, row: PeerRow): ConsensusTables =
    copy(leadership = leadership?.let { it.copy(peers = it.peers.put(replica, row)) })

internal fun ConsensusTables.withImmediateHeartbeat(): ConsensusTables =
    copy(leadership = leadership?.copy(heartbeatDue = now))
