/**
 * What a control replica asks of its process. Effects are performed in order: whatever is sent or answered comes after
 * the records before it are synced.
 */
package org.ibismoor.coordination.api

import org.ibismoor.consensus.api.ConsensusMessage
import org.ibismoor.consensus.api.ConsensusRecord
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.RouterId

sealed interface CoordinationEffect

/** Append to the log and sync. */
data class SyncRecords(val records: List<ConsensusRecord>) : CoordinationEffect

/** Replace the log by [records], which restore the same state. */
data class ReplaceRecords(val records: List<ConsensusRecord>) : CoordinationEffect

/** Send a consensus message; it may be lost. */
data class SendToReplica(val to: ReplicaId, val message: ConsensusMessage) : CoordinationEffect

/** Ask [hosts] to take this replica as a member. */
data class SendJoinRequest(val replica: ReplicaId, val hosts: List<String>) : CoordinationEffect

data class AnswerReport(val reply: Long, val answer: ReportAnswer) : CoordinationEffect

data class AnswerPublication(val reply: Long, val answer: OperatorAnswer) : CoordinationEffect

data class AnswerRead(val reply: Long, val answer: OperatorAnswer) : CoordinationEffect

data class AnswerJoin(val reply: Long, val leader: ReplicaId?) : CoordinationEffect

/** This replica has begun or ceased to lead. */
data class NotifyLeadershipChange(val isLeading: Boolean, val term: Long, val leader: ReplicaId?) : CoordinationEffect

/** A configuration is in force at this replica. */
data class NotifyConfigurationChange(val version: Long) : CoordinationEffect

/** A router was listed for callers, or taken from the list for [cause]. */
data class NotifyRouterListChange(val router: RouterId, val isListed: Boolean, val cause: String) : CoordinationEffect

/**
 * A router started anew. What its earlier session had not returned stays spent, [heldPerMille] of all budgets together
 * with what it had really spent.
 */
data class NotifySessionStart(val router: RouterId, val heldPerMille: Long) : CoordinationEffect
