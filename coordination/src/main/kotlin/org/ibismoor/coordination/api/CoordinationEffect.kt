/**
 * Effects that a control replica requests from its process. They are performed in order, so nothing is sent or answered
 * before the preceding records are synced.
 */
package org.ibismoor.coordination.api

import org.ibismoor.consensus.api.ConsensusMessage
import org.ibismoor.consensus.api.ConsensusRecord
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.RequestDigest
import org.ibismoor.core.api.RouterId

sealed interface CoordinationEffect

/** Append [records] to the log and sync it. */
data class SyncRecords(val records: List<ConsensusRecord>) : CoordinationEffect

/** Replace the log by [records], which restore the same state. */
data class ReplaceRecords(val records: List<ConsensusRecord>) : CoordinationEffect

/** Send a consensus message, which may be lost. */
data class SendToReplica(val to: ReplicaId, val message: ConsensusMessage) : CoordinationEffect

/** Request membership for [replica], this one, from the control processes on [hosts]. */
data class SendJoinRequest(val replica: ReplicaId, val hosts: List<String>) : CoordinationEffect

data class AnswerReport(val reply: Long, val answer: ReportAnswer) : CoordinationEffect

data class AnswerPublication(val reply: Long, val answer: OperatorAnswer) : CoordinationEffect

data class AnswerEvacuation(val reply: Long, val answer: OperatorAnswer) : CoordinationEffect

data class AnswerRead(val reply: Long, val answer: OperatorAnswer) : CoordinationEffect

/** Ask the control processes on [hosts] for the leader, without a request for membership. */
data class SendLeaderQuery(val hosts: List<String>) : CoordinationEffect

/** Tell the control processes on [hosts], which are outside the group, that [leader] leads it. */
data class SendLeaderAnnouncement(val leader: ReplicaId, val hosts: List<String>) : CoordinationEffect

/** Answer a join request or a leader query with the [leader], if it is known, and the age of that knowledge. */
data class AnswerJoin(val reply: Long, val leader: ReplicaId?, val ageMillis: Long = 0) : CoordinationEffect

/** This replica became the leader or stopped being the leader. */
data class NotifyLeadershipChange(val isLeading: Boolean, val term: Long, val leader: ReplicaId?) : CoordinationEffect

/** The members of the group changed, according to this replica's log. */
data class NotifyMembershipChange(val voters: List<ReplicaId>, val learners: List<ReplicaId>) : CoordinationEffect

/** The configuration of [version] is in force at this replica. */
data class NotifyConfigurationChange(val version: Long) : CoordinationEffect

/** The evacuated failure domains changed, according to this replica's log. */
data class NotifyEvacuationChange(val evacuations: EvacuationList) : CoordinationEffect

/** A router was added to the list for callers or removed from it, for [cause]. */
data class NotifyRouterListChange(val router: RouterId, val isListed: Boolean, val cause: String) : CoordinationEffect

/**
 * A router started a new session. Tokens that its previous session did not return count as spent: [heldPerMille] of the
 * sum of all budgets. The session had not reported [strandedPerMille] of that sum as spent. By the log, all sessions
 * together can still spend [unspentPerMille] of it.
 */
data class NotifySessionStart(
    val router: RouterId,
    val heldPerMille: Long,
    val strandedPerMille: Long,
    val unspentPerMille: Long,
) : CoordinationEffect

/** The leader's belief about a prompt part has changed, after crashes at [moments] distinct moments. */
data class NotifyPromptPart(val part: String, val belief: PartBelief, val moments: Int, val failedProbes: Int) :
    CoordinationEffect

/** The leader's belief about a request has changed, after [crashes] crashes of upstreams that ran it. */
data class NotifyRequestQuarantine(val digest: RequestDigest, val belief: RequestBelief, val crashes: Int) :
    CoordinationEffect

enum class RequestBelief { SUSPECTED, QUARANTINED, RELEASED }

enum class PartBelief { SUSPECTED, QUARANTINED, RELEASED }
