/**
 * All state of one consensus replica: vote, log suffix, memberships, candidacy, and the progress of each peer while it
 * leads.
 */
package org.ibismoor.consensus.api

import kotlinx.collections.immutable.PersistentList
import org.ibismoor.consensus.internal.Candidacy
import org.ibismoor.consensus.internal.IncomingSnapshot
import org.ibismoor.consensus.internal.Leadership
import org.ibismoor.consensus.internal.LogTable
import org.ibismoor.consensus.internal.MembershipRow
import org.ibismoor.consensus.internal.SnapshotRow
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.SeededRandom
import org.ibismoor.core.api.Timestamp

@ConsistentCopyVisibility
data class ConsensusTables internal constructor(
    val self: ReplicaId,
    /** Time of the last tick. */
    val now: Timestamp,
    val term: Long,
    val votedFor: ReplicaId?,
    val leader: ReplicaId?,
    val commitIndex: Long,
    /** Entries up to here were given to the state machine above. */
    internal val emittedIndex: Long,
    internal val leaderHeardAt: Timestamp?,
    internal val electionDue: Timestamp,
    internal val random: SeededRandom,
    internal val log: LogTable,
    internal val snapshot: SnapshotRow,
    /** Memberships in the order of their entries; the last one is in force. */
    internal val memberships: PersistentList<MembershipRow>,
    internal val incoming: IncomingSnapshot?,
    internal val candidacy: Candidacy?,
    internal val leadership: Leadership?,
    /** The members that the group should reach; only a leader acts on it. */
    internal val target: List<ReplicaId>?,
)
