/**
 * Reports the end of claims on plain keys to the quorum, again and again until the quorum confirms it.
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
            due.entries.map { it.id }.distinct().fold(work, ::report).toStep()
        }
    }

    private fun report(work: LedgerWork, key: RequestKey): LedgerWork {
        val command = work.tables.durable.claimReports[key] ?: return work
        val again = work.tables.reportsDue.plus(work.now + settings.resendMillis, key)
        return work.with(work.tables.copy(reportsDue = again)).emit(ProposeCommand(command))
    }
}
