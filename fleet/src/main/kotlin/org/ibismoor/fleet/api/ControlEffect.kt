/**
 * What a control replica asks of its process. Effects are performed in order: whatever is sent or answered comes
 * after the records before it are synced.
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

/** Append to the consensus log and sync. */
data class SyncConsensus(val records: List<ConsensusRecord>) : ControlEffect

/** Replace the consensus log by [records], which restore the same state. */
data class ReplaceConsensus(val records: List<ConsensusRecord>) : ControlEffect

/** Append to the log of the domain ledger and sync. */
data class SyncLedger(val records: List<DomainRecord>) : ControlEffect

/** Replace the log of the domain ledger by [records], which restore the same state. */
data class ReplaceLedger(val records: List<DomainRecord>) : ControlEffect

/** Send a consensus message; it may be lost. */
data class SendConsensus(val to: ReplicaId, val message: ConsensusMessage) : ControlEffect

/** Send a message about shares; it may be lost. */
data class SendPeerMessage(val to: ReplicaId, val message: PeerMessage) : ControlEffect

/** Send the summary of this domain to all other replicas; it may be lost. */
data class SendDomainSummary(val summary: DomainSummary) : ControlEffect

/** Forward a command to the leader; [ForwardAnswered] tells the answer. */
data class ForwardCommand(val forward: Long, val to: ReplicaId, val command: FleetCommand) : ControlEffect

/** Answers [LedgerRequestsReceived]. */
data class AnswerLedgerRequests(val reply: Long, val answers: List<LedgerAnswer>) : ControlEffect

/** Answers [RouterHeartbeatReceived]. */
data class AnswerRouter(val reply: Long, val answer: HeartbeatAnswer) : ControlEffect

/** Answers [PublicationReceived]. */
data class AnswerPublication(val reply: Long, val answer: CommandAnswer) : ControlEffect

/** Answers [CommandReceived]. */
data class AnswerCommand(val reply: Long, val answer: CommandAnswer) : ControlEffect

/** Each live router of each domain reported [number] at [at]. */
data class ReportInForce(val number: ConfigurationNumber, val at: WallTime) : ControlEffect
