/**
 * Runs the systems on one observation at a time, so that each system sees the tables as they were at that observation:
 * first the one that keeps the tables of requests, then one system for each guarantee, which keeps the tables of its
 * own, and last the removal of old rows.
 */
package org.ibismoor.soak.internal.checks

import org.ibismoor.core.api.SystemSchedule
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.foldSteps
import org.ibismoor.core.api.then
import org.ibismoor.soak.api.CheckSettings
import org.ibismoor.soak.api.CheckTables
import org.ibismoor.soak.api.Checks
import org.ibismoor.soak.api.Observation
import org.ibismoor.soak.api.Violation

internal class CheckMachine(settings: CheckSettings) : Checks {
    private val recovery = RecoverySystem(settings)
    private val schedule = SystemSchedule(
        listOf(
            RequestRecordSystem(settings),
            StableProcessSystem(),
            BudgetSystem(settings),
            AnswerSystem(settings),
            BillingSystem(settings),
            RefusalSystem(),
            AtMostOnceSystem(),
            FalseRefusalSystem(settings),
            DurableConfigurationSystem(settings),
            CurrentConfigurationSystem(settings),
            RevokedKeySystem(settings),
            DrainSystem(settings),
            RetryBudgetSystem(settings),
            QuarantineSystem(settings),
            recovery,
            ExpirySystem(),
        ),
    )

    override fun createTables(now: Timestamp): CheckTables = CheckTables(now)

    override fun run(tables: CheckTables, tick: Tick<Observation>): CheckStep =
        foldSteps(tables, tick.messages) { current, observation ->
            runAt(current, Tick(observation.at, tick.wallTime, listOf(observation)))
        }.then { runAt(it, tick.copy(messages = emptyList())) }

    /** Observations of different processes may arrive slightly out of order; the time of the tables never goes back. */
    private fun runAt(tables: CheckTables, tick: Tick<Observation>): CheckStep {
        val now = maxOf(tables.now, tick.now)
        return schedule.run(tables.copy(now = now), tick.copy(now = now))
    }

    override fun nextDue(tables: CheckTables): Timestamp? {
        val due = tables.due
        return listOfNotNull(
            due.answers.next,
            due.settlements.next,
            due.retryWindows.next,
            due.requestExpiries.next,
            recovery.nextDue(tables),
        ).minOrNull()
    }

    override fun report(tables: CheckTables, violations: List<Violation>): String = reportText(tables, violations)
}
