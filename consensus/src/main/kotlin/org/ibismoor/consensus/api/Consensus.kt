/**
 * Entry points of the replicated log. `restoreConsensus` throws `IllegalArgumentException` if the records contradict
 * each other, which means that the log file is corrupt.
 */
package org.ibismoor.consensus.api

import org.ibismoor.consensus.internal.ConsensusMachine
import org.ibismoor.consensus.internal.emptyTables
import org.ibismoor.consensus.internal.hasLeaderQuorum
import org.ibismoor.consensus.internal.isMember
import org.ibismoor.consensus.internal.isVoter
import org.ibismoor.consensus.internal.members
import org.ibismoor.consensus.internal.replay
import org.ibismoor.consensus.internal.toRecords
import org.ibismoor.consensus.internal.withNewElectionTimeout
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.TickMachine
import org.ibismoor.core.api.Timestamp

private const val FIRST_TERM = 1L
private const val FIRST_INDEX = 1L

/** The machine that runs a replica. It is stateless; all state is in [ConsensusTables]. */
fun createConsensus(
    settings: ConsensusSettings = ConsensusSettings(),
): TickMachine<ConsensusTables, ConsensusInput, ConsensusEffect> = ConsensusMachine(settings)

/**
 * Restores [replica] from its [records] in the order in which they were persisted. A replica without records is an
 * outsider: it never votes, and it joins only as a learner. [seed] must differ between replicas, so that their election
 * timeouts differ.
 */
fun restoreConsensus(
    replica: ReplicaId,
    records: List<ConsensusRecord>,
    seed: Long,
    now: Timestamp,
    settings: ConsensusSettings = ConsensusSettings(),
): RestoredConsensus {
    val replayed = records.fold(emptyTables(replica, seed, now)) { tables, record -> tables.replay(record) }
    val tables = replayed.copy(deliveredIndex = replayed.commitIndex).withNewElectionTimeout(settings)
    val snapshot = tables.snapshot
    return RestoredConsensus(
        tables = tables,
        snapshot = if (snapshot.index == 0L) null else RestoreSnapshot(snapshot.index, snapshot.payload),
        committed = tables.log.range(snapshot.index + 1, tables.commitIndex),
    )
}

/** The first records of each member of a new group. Use them once only, with the same [members] at every member. */
fun initialRecords(members: List<ReplicaId>): List<ConsensusRecord> {
    require(members.size in 1..ConsensusSettings.MAXIMUM_MEMBERS) {
        "a new consensus group must have 1 to ${ConsensusSettings.MAXIMUM_MEMBERS} members, got ${members.size}"
    }
    val voters = members.distinct().sorted().map { ConsensusMember(it, isVoter = true) }
    return listOf(
        VoteRecord(FIRST_TERM, null),
        EntriesRecord(listOf(ConsensusEntry(FIRST_INDEX, FIRST_TERM, MembersContent(voters)))),
        CommitRecord(FIRST_INDEX),
    )
}

/** Records that restore [tables]; they replace the log file after a snapshot was taken or installed. */
fun compactRecords(tables: ConsensusTables): List<ConsensusRecord> = tables.toRecords()

fun ConsensusTables.status(): ConsensusStatus =
    ConsensusStatus(
        replica = self,
        role = role(),
        term = term,
        leader = leader,
        commitIndex = commitIndex,
        lastIndex = log.lastIndex,
        snapshotIndex = snapshot.index,
        members = members,
        hasQuorum = hasQuorum(),
        firstIndexOfTerm = leadership?.firstIndex,
    )

private fun ConsensusTables.role(): ConsensusRole =
    when {
        leadership != null -> ConsensusRole.LEADER
        candidacy != null -> ConsensusRole.CANDIDATE
        isVoter() -> ConsensusRole.FOLLOWER
        isMember() -> ConsensusRole.LEARNER
        else -> ConsensusRole.OUTSIDER
    }

private fun ConsensusTables.hasQuorum(): Boolean {
    val limit = ConsensusSettings.MAXIMUM_ELECTION_MILLIS
    val contactAt = lastLeaderContactAt
    val isFollowing = leader != null && contactAt != null && now - contactAt <= limit
    return if (leadership != null) hasLeaderQuorum(limit) else isFollowing
}
