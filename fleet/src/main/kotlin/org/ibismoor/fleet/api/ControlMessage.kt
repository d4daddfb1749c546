/**
 * Messages into the state machine of a control replica. A `reply` number identifies the exchange that waits for an
 * answer; the effect that answers it carries the same number.
 */
package org.ibismoor.fleet.api

import org.ibismoor.configuration.api.ConfigurationTables
import org.ibismoor.consensus.api.ConsensusMessage
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.SessionId
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.ledger.api.FleetCommand
import org.ibismoor.ledger.api.LedgerRequest
import org.ibismoor.membership.api.DomainSummary
import org.ibismoor.membership.api.Heartbeat
import org.ibismoor.membership.api.UpstreamReport

interface ControlMessage

data class ConsensusReceived(val from: ReplicaId, val message: ConsensusMessage) : ControlMessage

/** A batch of ledger requests from a router; answered by [AnswerLedgerRequests]. */
data class LedgerRequestsReceived(val reply: Long, val session: SessionId, val requests: List<LedgerRequest>) :
    ControlMessage

/** A heartbeat of a router; answered by [AnswerRouter]. */
data class RouterHeartbeatReceived(val reply: Long, val heartbeat: Heartbeat) : ControlMessage

/**
 * A publication from an operator. [configuration] carries its number and [digest] identifies its content; answered by
 * [AnswerPublication].
 */
data class PublicationReceived(val reply: Long, val configuration: ConfigurationTables, val digest: String) :
    ControlMessage

/** A command that another replica forwarded to this one as the leader; answered by [AnswerCommand]. */
data class CommandReceived(val reply: Long, val command: FleetCommand) : ControlMessage

/** The answer to [ForwardCommand] number [forward]; [CommandOutcomeUnknown] if none arrived. */
data class ForwardAnswered(val forward: Long, val answer: CommandAnswer) : ControlMessage

/** A message about shares from another replica. */
data class PeerMessageReceived(val from: ReplicaId, val message: PeerMessage) : ControlMessage

/** The summary of another failure domain. */
data class DomainSummaryReceived(val summary: DomainSummary) : ControlMessage

/** An upstream of this domain answered the poll for its load. */
data class UpstreamLoadReceived(val report: UpstreamReport) : ControlMessage

/** An upstream of this domain did not answer the poll for its load. */
data class UpstreamPollFailed(val upstream: UpstreamId) : ControlMessage

/** The platform's list of leaving VMs, by name or base URL. */
data class LeavingVmsReceived(val leaving: Set<String>) : ControlMessage

/** The process is about to stop, so a leader transfers its leadership. */
data object ShutdownRequested : ControlMessage
