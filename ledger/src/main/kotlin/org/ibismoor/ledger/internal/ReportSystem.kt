/**
 * Reports completed and released claims of plain keys to the quorum, and repeats each report until it is confirmed.
 */
package org.ibismoor.ledger.internal

import org.ibismoor.core.api.RequestKey
import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickSystem
import org.ibismoor.ledger.api.DomainLedgerEffect
import org.ibismoor.ledger.api.DomainLedgerMessage
import org.ibismoor.ledger.api.DomainLedgerSettings
import org.ibismoor.ledger.api.DomainLedgerTables
import org.ibismoor.ledger.api.ProposeCommand

internal class ReportSystem(private val settings: DomainLedgerSettings) :
    TickSystem<DomainLedgerTables, DomainLedgerMessage, DomainLedgerEffect> {
    override fun run(
        tables: DomainLedgerTables,
        tick: Tick<DomainLedgerMessage>,
    ): Step<DomainLedgerTables, DomainLedgerEffect> {
        val due = tables.reportsDue.take(tick.now)
        val work = startWork(tables.copy(reportsDue = due.rest), tick, settings)
        return if (due.entries.isEmpty()) {
            Step(tables)
        } else {
            due.entries.map { it.id }.distinct().fold(work, ::proposeReport).toStep()
        }
    }

    private fun proposeReport(work: LedgerWork, key: RequestKey): LedgerWork {
        val command = work.tables.durable.claimReports[key] ?: return work
        val rescheduled = work.tables.reportsDue.plus(work.now + settings.resendIntervalMillis, key)
        return work.withTables(work.tables.copy(reportsDue = rescheduled)).emit(ProposeCommand(command))
    }
}
