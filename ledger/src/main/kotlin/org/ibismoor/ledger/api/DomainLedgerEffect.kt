/**
 * What a domain ledger asks of its process. Effects are performed in order: answers are given only after the records
 * before them are synced.
 */
package org.ibismoor.ledger.api

sealed interface DomainLedgerEffect

/** Append these records to the ledger's log and sync them. */
data class AppendRecords(val records: List<DomainRecord>) : DomainLedgerEffect

/** Answer the requests of a batch. A batch is answered in one effect when all its requests are decided. */
data class AnswerBatch(val batch: Long, val answers: List<LedgerAnswer>) : DomainLedgerEffect

/** Propose a command to the leader of the replicated log. [CommandFinished] tells the result. */
data class ProposeCommand(val command: FleetCommand) : DomainLedgerEffect

/** Ask the leader for larger shares. */
data class RequestShares(val needs: List<ShareNeed>) : DomainLedgerEffect
