/**
 * Makes and restores replicas of the replicated log. `restoreConsensus` throws `IllegalArgumentException` if the
 * records contradict each other, which a log that was read without damage cannot.
 */
package org.ibismoor.consensus.api

import org.ibismoor.consensus.internal.ConsensusMachine
import org.ibismoor.consensus.internal.emptyTables
import org.ibismoor.consensus.internal.hasLeaderQuorum
import org.ibismoor.consensus.internal.isMember
import org.ibismoor.consensus.internal.isVoter
import org.ibismoor.consensus.internal.members
import org.ibismoor.consensus.internal.replay
import org.ibismoor.consensus.internal.resetElection
import org.ibismoor.consensus.internal.toRecords
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.TickMachine
import org.ibismoor.core.api.Timestamp

private const val FIRST_TERM = 1L
private const val FIRST_INDEX = 1L

/** The machine that runs a replica. It has no state of its own. */
fun createConsensus(
    settings: ConsensusSettings = ConsensusSettings(),
): TickMachine<ConsensusTables, ConsensusInput, ConsensusEffect> = ConsensusMachine(settings)

/**
 * Restores [replica] from its [records] in the order in which they were persisted. Without records it is an outsider:
 * it never votes and can only become a learner. [seed] differs between replicas.
 */
fun restoreConsensus(
    replica: ReplicaId,
    records: List<ConsensusRecord>,
    seed: Long,
    now: Timestamp,
): RestoredConsensus {
    val replayed = records.fold(emptyTables(replica, seed, now)) { tables, record -> tables.replay(record) }
    val tables = replayed.copy(emittedIndex = replayed.commitIndex).resetElection(ConsensusSettings())
    val snapshot = tables.snapshot
    return RestoredConsensus(
        tables = tables,
        snapshot = if (snapshot.index == 0L) null else RestoreSnapshot(snapshot.index, snapshot.payload),
        committed = tables.log.range(snapshot.index + 1, tables.commitIndex),
    )
}

/** Records for each member of a new group. All members must start from the same list, and only once. */
fun initialRecords(members: List<ReplicaId>): List<ConsensusRecord> {
    require(members.size in 1..ConsensusSettings.MAXIMUM_MEMBERS) { "a group has 1 to 32 members, not ${members.size}" }
    val voters = members.distinct().sorted().map { ConsensusMember(it, isVoter = true) }
    return listOf(
        VoteRecord(FIRST_TERM, null),
        EntriesRecord(listOf(ConsensusEntry(FIRST_INDEX, FIRST_TERM, MembersContent(voters)))),
        CommitRecord(FIRST_INDEX),
    )
}

/** Records that restore the same replica, to replace the log file after a snapshot was taken or installed. */
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
    val heardAt = leaderHeardAt
    val isFollowing = leader != null && heardAt != null && now - heardAt <= limit
    return if (leadership != null) hasLeaderQuorum(limit) else isFollowing
}
