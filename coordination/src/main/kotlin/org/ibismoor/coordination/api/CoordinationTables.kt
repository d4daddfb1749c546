/**
 * The tables of one control replica. Only [state] is replicated; the rest is local to the process.
 */
package org.ibismoor.coordination.api

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import org.ibismoor.consensus.api.ConsensusInput
import org.ibismoor.consensus.api.ConsensusTables
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.RouterId
import org.ibismoor.core.api.SessionId
import org.ibismoor.core.api.Timestamp

data class CoordinationTables(
    val replica: ReplicaId,
    val consensus: ConsensusTables,
    val state: CoordinationState,
    val appliedIndex: Long,
    /** Hosts of control processes in the settings. */
    val seedHosts: List<String>,
    /** True at a process without a disk: it never becomes a member and only refers callers to the leader. */
    val isObserver: Boolean = false,
    /** Start of the current leadership; null at a replica that does not lead. */
    val leadingSince: Timestamp? = null,
    /** Next number for a proposal or a read. */
    val nextNumber: Long = 1,
    val proposals: PersistentMap<Long, Proposal> = persistentHashMapOf(),
    val reads: PersistentMap<Long, PendingRead> = persistentHashMapOf(),
    val routers: PersistentMap<RouterId, RouterRow> = persistentHashMapOf(),
    /** Null at a replica that does not lead. */
    val view: FleetView? = null,
    val upstreams: UpstreamList? = null,
    /** A reading of the platform's list with software versions that are not committed yet. */
    val heldUpstreams: List<UpstreamEntry>? = null,
    /** Committed software versions that are not in the platform's list, with the time since which they are not. */
    val absentVersions: PersistentMap<StreamOrigin, Timestamp> = persistentHashMapOf(),
    /** The latest proposal that changes the committed software versions. */
    val versionProposal: Long? = null,
    /** Rebuilt from reports after an election. */
    val quarantine: QuarantineTables = QuarantineTables(),
    val requestQuarantine: RequestQuarantineTables = RequestQuarantineTables(),
    val lastContactAt: PersistentMap<ReplicaId, Timestamp> = persistentHashMapOf(),
    val join: JoinRow = JoinRow(),
    /** Replicas that are not members, with the time of their last join request; kept at the leader only. */
    val candidates: PersistentMap<ReplicaId, Timestamp> = persistentHashMapOf(),
    /**
     * The time from which the leader compares the members with those that the group should have; null before its first
     * check.
     */
    val nextMembershipCheckAt: Timestamp? = null,
    /** When the leader next announces itself to seed hosts outside the group. */
    val nextAnnouncementAt: Timestamp? = null,
    val growth: LogGrowth = LogGrowth(),
    /** A snapshot was taken and the log on disk still contains the entries that it covers. */
    val isLogRewriteDue: Boolean = false,
    /** Inputs queued for the consensus, which processes them within the same tick. */
    val consensusInputs: PersistentList<ConsensusInput> = persistentListOf(),
    /** Committed commands that are not applied yet. */
    val committedCommands: PersistentList<CommittedCommand> = persistentListOf(),
)

/** A proposal of this leader: the exchanges that it answers, and its place in the log once it is appended. */
data class Proposal(val exchanges: List<PendingExchange>, val index: Long? = null, val term: Long = 0)

/** An exchange to be answered when its proposal is committed. */
sealed interface PendingExchange {
    val reply: Long
}

data class PendingReport(override val reply: Long, val report: RouterReport) : PendingExchange

data class PendingPublication(override val reply: Long) : PendingExchange

data class PendingEvacuation(override val reply: Long) : PendingExchange

/** A read that waits for the quorum to confirm leadership, and then until the entries up to [index] are applied. */
data class PendingRead(val reply: Long, val index: Long? = null)

/** A router, according to its last report to the leader. */
data class RouterRow(
    val entry: RouterEntry,
    val state: RouterState,
    val lastReportAt: Timestamp,
    val isListed: Boolean,
    val requestsPerSecond: Double,
    val session: SessionId,
    /** Last reported usage of each organisation. */
    val usage: Map<OrganisationId, AllowanceUsage>,
    val isPlacementAutomatic: Boolean = false,
)

/** The leader that an answer to a join request last named at [leaderNamedAt], and the time of the next request. */
data class JoinRow(
    val leader: ReplicaId? = null,
    val leaderNamedAt: Timestamp? = null,
    val nextRequestAt: Timestamp? = null,
)

/** Log entries and command characters since the last snapshot. */
data class LogGrowth(val entries: Int = 0, val characters: Long = 0)

/** A command committed at [index] in [term]. */
data class CommittedCommand(val index: Long, val term: Long, val payload: String)
