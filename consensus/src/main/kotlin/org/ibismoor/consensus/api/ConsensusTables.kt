/**
 * The whole state of one consensus replica.
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
    /** Entries up to this index were delivered to the application. */
    internal val deliveredIndex: Long,
    internal val lastLeaderContactAt: Timestamp?,
    internal val electionDue: Timestamp,
    internal val random: SeededRandom,
    internal val log: LogTable,
    internal val snapshot: SnapshotRow,
    /** Memberships in the order of their entries; the last one is in force. */
    internal val memberships: PersistentList<MembershipRow>,
    internal val incoming: IncomingSnapshot?,
    internal val candidacy: Candidacy?,
    internal val leadership: Leadership?,
    /** The requested members; only a leader changes the membership towards them. */
    internal val targetMembers: List<ReplicaId>?,
)
