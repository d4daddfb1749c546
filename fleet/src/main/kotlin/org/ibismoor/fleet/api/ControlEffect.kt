/**
 * Effects of the state machine of a control replica. The process performs them in order: a message or an answer leaves
 * only after the records of the effects before it are synced.
 */
package org.ibismoor.fleet.api

import org.ibismoor.configuration.api.ConfigurationNumber
import org.ibismoor.consensus.api.ConsensusMessage
import org.ibismoor.consensus.api.ConsensusRecord
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.WallTime
import org.ibismoor.ledger.api.DomainRecord
import org.ibismoor.ledger.api.FleetCommand
import org.ibismoor.ledger.api.LedgerAnswer
import org.ibismoor.membership.api.DomainSummary
import org.ibismoor.membership.api.HeartbeatAnswer

sealed interface ControlEffect

/** Appends to the consensus log and syncs it. */
data class SyncConsensus(val records: List<ConsensusRecord>) : ControlEffect

/** Replaces the consensus log by [records], which restore the same state. */
data class ReplaceConsensus(val records: List<ConsensusRecord>) : ControlEffect

/** Appends to the log of the domain ledger and syncs it. */
data class SyncLedger(val records: List<DomainRecord>) : ControlEffect

/** Replaces the log of the domain ledger by [records], which restore the same state. */
data class ReplaceLedger(val records: List<DomainRecord>) : ControlEffect

/** Sends a consensus message, which may be lost. */
data class SendConsensus(val to: ReplicaId, val message: ConsensusMessage) : ControlEffect

/** Sends a message about shares, which may be lost. */
data class SendPeerMessage(val to: ReplicaId, val message: PeerMessage) : ControlEffect

/** Sends the summary of this domain to all other replicas. It may be lost. */
data class SendDomainSummary(val summary: DomainSummary) : ControlEffect

/** Forwards a command to the leader. [ForwardAnswered] brings the answer. */
data class ForwardCommand(val forward: Long, val to: ReplicaId, val command: FleetCommand) : ControlEffect

/** Answers [LedgerRequestsReceived]. */
data class AnswerLedgerRequests(val reply: Long, val answers: List<LedgerAnswer>) : ControlEffect

/** Answers [RouterHeartbeatReceived]. */
data class AnswerRouter(val reply: Long, val answer: HeartbeatAnswer) : ControlEffect

/** Answers [PublicationReceived]. */
data class AnswerPublication(val reply: Long, val answer: CommandAnswer) : ControlEffect

/** Answers [CommandReceived]. */
data class AnswerCommand(val reply: Long, val answer: CommandAnswer) : ControlEffect

/** Reports that at [at] each live router of each domain had reported configuration [number] or a later one. */
data class ReportInForce(val number: ConfigurationNumber, val at: WallTime) : ControlEffect
