/**
 * The checks of all guarantees as one machine: observations in, violations out. It works alike on the observations of
 * a running soak and on recorded ones.
 */
package org.ibismoor.soak.api

import org.ibismoor.core.api.TickMachine
import org.ibismoor.core.api.Timestamp
import org.ibismoor.soak.internal.checks.CheckMachine

interface Checks : TickMachine<CheckTables, Observation, Violation> {
    fun createTables(now: Timestamp): CheckTables

    /** Verdict as text: how often each guarantee was put to the test, and the violations of each. */
    fun report(tables: CheckTables, violations: List<Violation>): String
}

fun createChecks(settings: CheckSettings): Checks = CheckMachine(settings)
