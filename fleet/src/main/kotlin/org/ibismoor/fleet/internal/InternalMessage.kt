/**
 * Messages between the systems of one control replica. They do not leave its state machine.
 */
package org.ibismoor.fleet.internal

import org.ibismoor.configuration.api.ConfigurationDelta
import org.ibismoor.consensus.api.ConsensusEntry
import org.ibismoor.consensus.api.ProposalRefusal
import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.SessionId
import org.ibismoor.fleet.api.CommandAnswer
import org.ibismoor.fleet.api.ControlMessage
import org.ibismoor.fleet.api.PendingCommand

internal sealed interface InternalMessage : ControlMessage

/** A command to commit through the leader, whichever replica that is. */
internal data class CommandSubmitted(val pending: PendingCommand) : InternalMessage

/** A command to propose at this replica; it is refused if this replica does not lead. */
internal data class CommandProposed(val pending: PendingCommand) : InternalMessage

/** The answer to a command; [CommandOutcomeUnknown] if this replica cannot learn the result. */
internal data class CommandAnswered(val pending: PendingCommand, val answer: CommandAnswer) : InternalMessage

/** A proposal for the consensus. */
internal data class ProposalSubmitted(val proposal: Long, val payload: String) : InternalMessage

/** The consensus appended a proposal to its log, where it may still be replaced. */
internal data class ProposalAccepted(val proposal: Long, val index: Long, val term: Long) : InternalMessage

internal data class ProposalRejected(val proposal: Long, val leader: ReplicaId?, val reason: ProposalRefusal) :
    InternalMessage

/** Committed entries to apply to the fleet tables. */
internal data class CommittedEntriesReceived(val entries: List<ConsensusEntry>) : InternalMessage

/** A snapshot that replaces the fleet tables, received because the log no longer has the entries. */
internal data class CommittedSnapshotReceived(val index: Long, val payload: String) : InternalMessage

/** The consensus may drop the log entries that this snapshot of the fleet tables covers. */
internal data class SnapshotCreated(val index: Long, val payload: String) : InternalMessage

/** The consensus has dropped log entries, so the log file can be rewritten without them. */
internal data object ConsensusLogCompacted : InternalMessage

/** The rows of [changed] changed, and the configuration by [delta] unless it is null. */
internal data class FleetTablesChanged(val changed: Set<BudgetId>, val delta: ConfigurationDelta?) : InternalMessage

/** The leader has recent contact with exactly [replicas]. */
internal data class ReachableReplicasChanged(val replicas: Set<ReplicaId>) : InternalMessage

/** This replica became the leader or lost the leadership. */
internal data class LeaderRoleChanged(val isLeading: Boolean) : InternalMessage

/** The group of control replicas is to consist of [replicas]. */
internal data class MembershipChangeRequested(val replicas: List<ReplicaId>) : InternalMessage

/** The router with this session sent a heartbeat. */
internal data class RouterContactReceived(val session: SessionId) : InternalMessage
