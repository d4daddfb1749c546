/**
 * Inputs of a control replica other than the passing of time. A `reply` number identifies the exchange to answer; the
 * effect that answers it carries the same number.
 */
package org.ibismoor.coordination.api

import org.ibismoor.consensus.api.ConsensusMessage
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.ReplicaId

sealed interface CoordinationMessage

/** A consensus message from another replica. */
data class ConsensusReceived(val from: ReplicaId, val message: ConsensusMessage) : CoordinationMessage

/** A router's report; answered by [AnswerReport]. */
data class ReportReceived(val reply: Long, val report: RouterReport) : CoordinationMessage

/** A validated publication; answered by [AnswerPublication]. */
data class PublicationReceived(val reply: Long, val configuration: PublishedConfiguration) : CoordinationMessage

/** An operator's order to evacuate [domain] or to end its evacuation; answered by [AnswerEvacuation]. */
data class EvacuationRequested(val reply: Long, val domain: FailureDomainId, val isEvacuated: Boolean) :
    CoordinationMessage

/** A request for the newest configuration; answered by [AnswerRead]. */
data class ReadReceived(val reply: Long) : CoordinationMessage

/** A join request from a replica that is not a member or has no leader; answered by [AnswerJoin]. */
data class JoinReceived(val reply: Long, val replica: ReplicaId) : CoordinationMessage

/** A request for the leader's name from an observer; answered by [AnswerJoin]. */
data class LeaderQueried(val reply: Long) : CoordinationMessage

/**
 * Another replica's answer to a join request or a leader query of this one, or the announcement of a leader. The
 * [leader] had contact with its group [ageMillis] ago.
 */
data class JoinAnswered(val leader: ReplicaId?, val ageMillis: Long = 0) : CoordinationMessage

/** The platform's complete list of upstreams. */
data class UpstreamListReceived(val upstreams: List<UpstreamEntry>) : CoordinationMessage

/** The hosts of control processes in the settings changed. */
data class SeedHostsChanged(val hosts: List<String>) : CoordinationMessage

/** Leadership must be transferred before the process shuts down. */
data object ShutdownRequested : CoordinationMessage
