/**
 * Effects of a domain ledger. The process performs them in order, so an answer is sent only after the records before it
 * are synced.
 */
package org.ibismoor.ledger.api

sealed interface DomainLedgerEffect

/** Appends the records to the log of the ledger and syncs it. */
data class AppendRecords(val records: List<DomainRecord>) : DomainLedgerEffect

/** Answers a batch of which all requests are decided. */
data class AnswerBatch(val batch: Long, val answers: List<LedgerAnswer>) : DomainLedgerEffect

/** Proposes a command to the leader of the replicated log. The result comes back as [CommandFinished]. */
data class ProposeCommand(val command: FleetCommand) : DomainLedgerEffect

/** Requests larger shares from the leader. */
data class RequestShares(val needs: List<ShareNeed>) : DomainLedgerEffect
