/**
 * Handles messages from the replicated log and the leader: applied entries, command results and messages about shares.
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
        tick.messages.fold(startWork(tables, tick, settings), ::handleMessage).toStep()

    private fun handleMessage(work: LedgerWork, message: DomainLedgerMessage): LedgerWork =
        when (message) {
            is FleetAdvanced -> updateFleet(work, message)
            is CommandFinished -> handleResult(work, message.command, message.result)
            is SharesExhausted -> message.budgets.fold(work, ::refuseWaiting)
            is ReturnRequested -> returnTokens(work, message)
            else -> work
        }

    private fun updateFleet(work: LedgerWork, message: FleetAdvanced): LedgerWork {
        val tables = work.tables.copy(fleet = message.fleet)
        val updated = message.changed.filter { it in tables.usage }.fold(work.withTables(tables)) { w, budget ->
            val reset = w.withUsage(budget) { it.copy(exhaustedUntil = null) }
            reset.withTables(reset.tables.withFreedBudget(budget))
        }
        return recordMerged(updated, message.fleet.mergedSequences[tables.replica] ?: 0)
    }

    private fun recordMerged(work: LedgerWork, sequence: Long): LedgerWork =
        if (sequence > work.tables.durable.mergedCharge) work.appendRecord(MergedRecord(sequence)) else work

    private fun handleResult(work: LedgerWork, command: FleetCommand, result: FleetResult?): LedgerWork =
        when (command) {
            is ClaimKey -> work.applyClaimResult(command, result)
            is MergeCharges -> handleMergeResult(work, command, result)
            is CompleteClaim -> handleReportResult(work, command.key, command, result)
            is ReleaseClaim -> handleReportResult(work, command.key, command, result)
            else -> work
        }

    private fun handleMergeResult(work: LedgerWork, command: MergeCharges, result: FleetResult?): LedgerWork =
        when {
            command != work.tables.merge.inFlight -> work
            result == Applied -> recordMerged(work, command.sequence).completeMerge()
            else -> work.requeueMerge()
        }

    private fun handleReportResult(
        work: LedgerWork,
        key: RequestKey,
        command: FleetCommand,
        result: FleetResult?,
    ): LedgerWork {
        val isDone = result != null && work.tables.durable.claimReports[key] == command
        return if (isDone) work.appendRecord(ClaimReportedRecord(key)) else work
    }

    private fun refuseWaiting(work: LedgerWork, budget: BudgetId): LedgerWork {
        val until = work.now + settings.exhaustedHoldMillis
        val exhausted = work.withUsage(budget) { it.copy(exhaustedUntil = until) }
        return exhausted.usage(budget).waitingAttempts.fold(exhausted) { w, attempt ->
            val row = w.tables.pending.getValue(attempt)
            w.answerPending(attempt, shareRefusal(w, row.request, budget))
        }
    }

    /**
     * Returns the available tokens beyond the expected use, but at least half of all available tokens, and up to all of
     * them for requests that wait at another replica. If these requests lack more than is returned, the ledger reports
     * that it has no surplus, so that the leader can tell an exhausted budget from a lost message.
     */
    private fun returnTokens(work: LedgerWork, message: ReturnRequested): LedgerWork {
        val budget = message.budget
        val available = work.tables.availableTokens(budget).coerceAtLeast(0)
        val expected = work.usage(budget).expectedUse(work.now, settings.demandWindowMillis)
        val surplus = maxOf(available - expected, available / 2, minOf(message.urgent, available))
        val amount = minOf(message.amount, surplus)
        val returned = work.tables.durable.budget(budget).returned
        val remaining = if (amount > 0) work.appendRecord(ReturnRecord(budget, returned + amount)) else work
        return if (amount < maxOf(message.urgent, 1)) remaining.queueNoSurplus(budget) else remaining
    }
}
