/**
 * Conversion between tables and durable records.
 */
package org.ibismoor.consensus.internal

import kotlinx.collections.immutable.persistentListOf
import org.ibismoor.consensus.api.CommitRecord
import org.ibismoor.consensus.api.ConsensusRecord
import org.ibismoor.consensus.api.ConsensusTables
import org.ibismoor.consensus.api.EntriesRecord
import org.ibismoor.consensus.api.SnapshotRecord
import org.ibismoor.consensus.api.VoteRecord
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.SeededRandom
import org.ibismoor.core.api.Timestamp

internal fun emptyTables(replica: ReplicaId, seed: Long, now: Timestamp): ConsensusTables =
    ConsensusTables(
        self = replica,
        now = now,
        term = 0,
        votedFor = null,
        leader = null,
        commitIndex = 0,
        deliveredIndex = 0,
        lastLeaderContactAt = null,
        electionDue = now,
        random = SeededRandom(seed),
        log = LogTable(),
        snapshot = SnapshotRow.NONE,
        memberships = persistentListOf(),
        incoming = null,
        candidacy = null,
        leadership = null,
        targetMembers = null,
    )

internal fun ConsensusTables.replay(record: ConsensusRecord): ConsensusTables =
    when (record) {
        is VoteRecord -> copy(term = record.term, votedFor = record.votedFor)
        is EntriesRecord -> if (record.entries.isEmpty()) this else append(record.entries)
        is CommitRecord -> restoreCommitIndex(record.index)
        is SnapshotRecord -> installSnapshot(record)
    }

private fun ConsensusTables.restoreCommitIndex(index: Long): ConsensusTables {
    require(index <= log.lastIndex) { "commit record refers to entry $index, but the log ends at ${log.lastIndex}" }
    return copy(commitIndex = maxOf(commitIndex, index))
}

/** Each entry gets a record of its own, which bounds the size of the records. */
internal fun ConsensusTables.toRecords(): List<ConsensusRecord> {
    val base = listOf(VoteRecord(term, votedFor)) + listOfNotNull(snapshotRecord())
    val entries = log.range(maxOf(snapshot.index, log.baseIndex) + 1, log.lastIndex).map { EntriesRecord(listOf(it)) }
    return base + entries + CommitRecord(commitIndex)
}

private fun ConsensusTables.snapshotRecord(): SnapshotRecord? =
    if (snapshot.index == 0L) {
        null
    } else {
        SnapshotRecord(snapshot.index, snapshot.term, snapshot.members, snapshot.payload)
    }
