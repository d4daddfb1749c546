/**
 * Messages between the systems of one control replica. They stay within a tick.
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

/** Commit a command, at whichever replica leads. */
internal data class CommandSubmitted(val pending: PendingCommand) : InternalMessage

/** Commit a command here, or fail if this replica does not lead. */
internal data class CommandProposed(val pending: PendingCommand) : InternalMessage

/** The result of a command is known, or will not be known here. */
internal data class CommandAnswered(val pending: PendingCommand, val answer: CommandAnswer) : InternalMessage

/** Propose to the consensus. */
internal data class ProposalMade(val proposal: Long, val payload: String) : InternalMessage

/** The consensus appended a proposal. */
internal data class ProposalPlaced(val proposal: Long, val index: Long, val term: Long) : InternalMessage

/** The consensus refused a proposal. */
internal data class ProposalFailed(val proposal: Long, val leader: ReplicaId?, val reason: ProposalRefusal) :
    InternalMessage

/** Committed entries to apply. */
internal data class EntriesReady(val entries: List<ConsensusEntry>) : InternalMessage

/** A snapshot to restore the fleet tables from. */
internal data class SnapshotReady(val index: Long, val payload: String) : InternalMessage

/** A snapshot of the fleet tables was made and the consensus may cut its log. */
internal data class SnapshotMade(val index: Long, val payload: String) : InternalMessage

/** The consensus cut its log, so that its file can be rewritten. */
internal data object LogCut : InternalMessage

/** The fleet tables changed: the rows of [changed], and the configuration by [delta] if it is given. */
internal data class FleetMoved(val changed: Set<BudgetId>, val delta: ConfigurationDelta?) : InternalMessage

/** The replicas that the leader hears are [replicas]. */
internal data class ReachableMoved(val replicas: Set<ReplicaId>) : InternalMessage

/** This replica became the leader or stopped being it. */
internal data class LeadershipMoved(val isLeading: Boolean) : InternalMessage

/** The members that the group should reach. */
internal data class MembersWanted(val replicas: List<ReplicaId>) : InternalMessage

/** A router was heard. */
internal data class RouterSeen(val session: SessionId) : InternalMessage
