/**
 * Runs the systems of a domain ledger. All records of a tick are appended and synced together before any of its other
 * effects, so no answer or command is sent before the records that it depends on are durable.
 */
package org.ibismoor.ledger.internal

import org.ibismoor.core.api.Step
import org.ibismoor.core.api.SystemSchedule
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickMachine
import org.ibismoor.core.api.Timestamp
import org.ibismoor.ledger.api.AppendRecords
import org.ibismoor.ledger.api.DomainLedgerEffect
import org.ibismoor.ledger.api.DomainLedgerMessage
import org.ibismoor.ledger.api.DomainLedgerSettings
import org.ibismoor.ledger.api.DomainLedgerTables

internal class DomainLedgerMachine(settings: DomainLedgerSettings) :
    TickMachine<DomainLedgerTables, DomainLedgerMessage, DomainLedgerEffect> {
    private val schedule = SystemSchedule(
        listOf(
            FleetSystem(settings),
            SessionSystem(settings),
            RequestSystem(settings),
            PendingSystem(settings),
            ShareRequestSystem(),
            ReportSystem(settings),
            MergeSystem(settings),
            RetentionSystem(settings),
        ),
    )

    override fun run(
        tables: DomainLedgerTables,
        tick: Tick<DomainLedgerMessage>,
    ): Step<DomainLedgerTables, DomainLedgerEffect> {
        val step = schedule.run(tables, tick)
        return step.copy(effects = recordsFirst(step.effects))
    }

    override fun nextDue(tables: DomainLedgerTables): Timestamp? =
        listOfNotNull(
            tables.merge.due,
            tables.retention.due,
            tables.sessionsDue.next,
            tables.pendingDue.next,
            tables.reportsDue.next,
        ).minOrNull()

    private fun recordsFirst(effects: List<DomainLedgerEffect>): List<DomainLedgerEffect> {
        val appends = effects.filterIsInstance<AppendRecords>()
        return when (appends.size) {
            0 -> effects
            else -> listOf(AppendRecords(appends.flatMap { it.records })) + effects.filter { it !is AppendRecords }
        }
    }
}
