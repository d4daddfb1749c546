/**
 * Takes in what the replicated log decided: applied entries, results of commands, and answers about shares.
 */
package org.ibismoor.ledger.internal

import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.RequestKey
import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickSystem
import org.ibismoor.ledger.api.Applied
import org.ibismoor.ledger.api.ClaimKey
import org.ibismoor.ledger.api.ClaimReportedRecord
import org.ibismoor.ledger.api.CommandFinished
import org.ibismoor.ledger.api.CompleteClaim
import org.ibismoor.ledger.api.DomainLedgerEffect
import org.ibismoor.ledger.api.DomainLedgerMessage
import org.ibismoor.ledger.api.DomainLedgerSettings
import org.ibismoor.ledger.api.DomainLedgerTables
import org.ibismoor.ledger.api.FleetAdvanced
import org.ibismoor.ledger.api.FleetCommand
import org.ibismoor.ledger.api.FleetResult
import org.ibismoor.ledger.api.MergeCharges
import org.ibismoor.ledger.api.MergedRecord
import org.ibismoor.ledger.api.ReleaseClaim
import org.ibismoor.ledger.api.ReturnRecord
import org.ibismoor.ledger.api.ReturnRequested
import org.ibismoor.ledger.api.SharesExhausted

internal class FleetSystem(private val settings: DomainLedgerSettings) :
    TickSystem<DomainLedgerTables, DomainLedgerMessage, DomainLedgerEffect> {
    override fun run(
        tables: DomainLedgerTables,
        tick: Tick<DomainLedgerMessage>,
    ): Step<DomainLedgerTables, DomainLedgerEffect> =
        tick.messages.fold(startWork(tables, tick, settings), ::receive).toStep()

    private fun receive(work: LedgerWork, message: DomainLedgerMessage): LedgerWork =
        when (message) {
            is FleetAdvanced -> advance(work, message)
            is CommandFinished -> finish(work, message.command, message.result)
            is SharesExhausted -> message.budgets.fold(work, ::exhaust)
            is ReturnRequested -> giveBack(work, message)
            else -> work
        }

    private fun advance(work: LedgerWork, message: FleetAdvanced): LedgerWork {
        val tables = work.tables.copy(fleet = message.fleet)
        val woken = message.changed.filter { it in tables.usage }.fold(work.with(tables)) { w, budget ->
            val fresh = w.withUsage(budget) { it.copy(exhaustedUntil = null) }
            fresh.with(fresh.tables.withFreed(budget))
        }
        return markMerged(woken, message.fleet.mergedSequences[tables.replica] ?: 0)
    }

    private fun markMerged(work: LedgerWork, sequence: Long): LedgerWork =
        if (sequence > work.tables.durable.mergedCharge) work.record(MergedRecord(sequence)) else work

    private fun finish(work: LedgerWork, command: FleetCommand, result: FleetResult?): LedgerWork =
        when (command) {
            is ClaimKey -> work.finishClaim(command, result)
            is MergeCharges -> finishMerge(work, command, result)
            is CompleteClaim -> finishReport(work, command.key, command, result)
            is ReleaseClaim -> finishReport(work, command.key, command, result)
            else -> work
        }

    private fun finishMerge(work: LedgerWork, command: MergeCharges, result: FleetResult?): LedgerWork =
        when {
            command != work.tables.merge.inFlight -> work
            result == Applied -> markMerged(work, command.sequence).mergeDone()
            else -> work.mergeFailed()
        }

    private fun finishReport(
        work: LedgerWork,
        key: RequestKey,
        command: FleetCommand,
        result: FleetResult?,
    ): LedgerWork {
        val isDone = result != null && work.tables.durable.claimReports[key] == command
        return if (isDone) work.record(ClaimReportedRecord(key)) else work
    }

    private fun exhaust(work: LedgerWork, budget: BudgetId): LedgerWork {
        val until = work.now + settings.exhaustedMillis
        val noted = work.withUsage(budget) { it.copy(exhaustedUntil = until) }
        return noted.usage(budget).waiting.fold(noted) { w, attempt ->
            val row = w.tables.pending.getValue(attempt)
            w.finishPending(attempt, shareRefusal(w, row.request, budget))
        }
    }

    /**
     * Gives back what is left beyond the expected use, at least half of what is left, and everything down to the last
     * token for requests that wait elsewhere. When less than these requests lack is left, it says so, which lets the
     * leader tell an empty budget from a lost message.
     */
    private fun giveBack(work: LedgerWork, message: ReturnRequested): LedgerWork {
        val budget = message.budget
        val available = work.tables.availableTokens(budget).coerceAtLeast(0)
        val expected = work.usage(budget).expected(work.now, settings.demandMillis)
        val surplus = maxOf(available - expected, available / 2, minOf(message.urgent, available))
        val amount = minOf(message.amount, surplus)
        val returned = work.tables.durable.budget(budget).returned
        val given = if (amount > 0) work.record(ReturnRecord(budget, returned + amount)) else work
        return if (amount < maxOf(message.urgent, 1)) given.noteNoSurplus(budget) else given
    }
}
