/**
 * What drives a control replica beside the passing of time. A `reply` number names the exchange that waits; the effect
 * that answers it carries the same number.
 */
package org.ibismoor.coordination.api

import org.ibismoor.consensus.api.ConsensusMessage
import org.ibismoor.core.api.ReplicaId

sealed interface CoordinationMessage

/** A consensus message from another replica. */
data class ConsensusReceived(val from: ReplicaId, val message: ConsensusMessage) : CoordinationMessage

/** A report of a router; answered by [AnswerReport]. */
data class ReportReceived(val reply: Long, val report: RouterReport) : CoordinationMessage

/** A checked publication; answered by [AnswerPublication]. */
data class PublicationReceived(val reply: Long, val configuration: PublishedConfiguration) : CoordinationMessage

/** A request for the newest configuration; answered by [AnswerRead]. */
data class ReadReceived(val reply: Long) : CoordinationMessage

/** A replica that is not a member, or that hears no leader, asks to be one; answered by [AnswerJoin]. */
data class JoinReceived(val reply: Long, val replica: ReplicaId) : CoordinationMessage

/** Answer of another replica to this one's request to join. */
data class JoinAnswered(val leader: ReplicaId?) : CoordinationMessage

/** The platform's list was read in full. */
data class UpstreamListReceived(val upstreams: List<UpstreamEntry>) : CoordinationMessage

/** The settings name other hosts of control processes. */
data class SeedHostsChanged(val hosts: List<String>) : CoordinationMessage

/** Hand leadership over before a shutdown. */
data object ShutdownRequested : CoordinationMessage
