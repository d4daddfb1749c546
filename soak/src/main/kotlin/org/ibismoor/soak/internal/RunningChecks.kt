/**
 * The checks beside a running soak. They are used on the control thread only.
 */
package org.ibismoor.soak.internal

import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.WallTime
import org.ibismoor.soak.api.CheckSettings
import org.ibismoor.soak.api.CheckTables
import org.ibismoor.soak.api.Observation
import org.ibismoor.soak.api.ProcessName
import org.ibismoor.soak.api.RetryBudgetLimits
import org.ibismoor.soak.api.Violation
import org.ibismoor.soak.api.createChecks

internal class RunningChecks(layout: FleetLayout) {
    private val checks = createChecks(checkSettings(layout))
    private var tables: CheckTables? = null
    private val violations = mutableListOf<Violation>()

    /** Violations that the next [observations] show. */
    fun check(observations: List<Observation>): List<Violation> {
        val now = observations.lastOrNull()?.at ?: return emptyList()
        val step = checks.run(tables ?: checks.createTables(now), Tick(now, WallTime(0), observations))
        tables = step.tables
        violations += step.effects
        return step.effects
    }

    fun violations(): List<Violation> = violations.toList()

    /** Null if nothing was observed. */
    fun report(): String? = tables?.let { checks.report(it, violations) }
}

/** Limits of the fleet's settings, as the platform sets them. */
private fun checkSettings(layout: FleetLayout) = CheckSettings(
    core = layout.controlVms.map { ProcessName(controlName(it)) }.toSet(),
    stabilityWindowMillis = 3_000,
    configurationApplyMillis = 2_000,
    rollbackSlackMillis = 250,
    drainMillis = 3_000,
    settleMillis = 1_500,
    recoveryMillis = 12_000,
    retryBudget = RetryBudgetLimits(ratio = 0.2, slack = 60.0, windowMillis = 10_000),
)
