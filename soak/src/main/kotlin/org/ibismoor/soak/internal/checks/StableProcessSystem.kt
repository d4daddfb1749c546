/**
 * Checks that no process ends by itself. Keeps the tables of processes and active faults.
 */
package org.ibismoor.soak.internal.checks

import org.ibismoor.core.api.Timestamp
import org.ibismoor.soak.api.CheckSettings
import org.ibismoor.soak.api.CheckTables
import org.ibismoor.soak.api.FaultBegan
import org.ibismoor.soak.api.FaultEnded
import org.ibismoor.soak.api.Guarantee
import org.ibismoor.soak.api.Observation
import org.ibismoor.soak.api.ProcessEnded
import org.ibismoor.soak.api.ProcessName
import org.ibismoor.soak.api.ProcessRow
import org.ibismoor.soak.api.ProcessStarted

internal class StableProcessSystem : ObservationSystem {
    override fun observe(tables: CheckTables, observation: Observation): CheckStep =
        when (observation) {
            is FaultBegan -> CheckStep(recordFault(tables, observation))
            is FaultEnded -> CheckStep(recordFaultEnd(tables, observation))
            is ProcessStarted -> CheckStep(
                tables.withDisturbance(setOf(observation.process), observation.at) {
                    it.copy(startedAt = observation.at)
                },
            )
            is ProcessEnded -> checkEnd(tables, observation)
            else -> CheckStep(tables)
        }

    private fun checkEnd(tables: CheckTables, ended: ProcessEnded): CheckStep {
        val updated = tables.withDisturbance(setOf(ended.process), ended.at) { it }.copy(hasHadFaults = true)
        val details = "${ended.process.text} ended by itself with exit code ${ended.exitCode}"
            .takeIf { !ended.isRequested }
        return checked(updated, Guarantee.STABLE_PROCESS, ended.at, request = null, details)
    }

    private fun recordFault(tables: CheckTables, fault: FaultBegan): CheckTables =
        tables.copy(faults = tables.faults.put(fault.fault, fault.processes), hasHadFaults = true)
            .withDisturbance(fault.processes, fault.at) { it.copy(activeFaults = it.activeFaults.add(fault.fault)) }
            .withExercised(Guarantee.STABLE_PROCESS, fault.processes.isNotEmpty())

    private fun recordFaultEnd(tables: CheckTables, ended: FaultEnded): CheckTables {
        val processes = tables.faults[ended.fault] ?: return tables
        return tables.copy(faults = tables.faults.remove(ended.fault))
            .withDisturbance(processes, ended.at) { it.copy(activeFaults = it.activeFaults.remove(ended.fault)) }
    }

    private fun CheckTables.withDisturbance(
        names: Set<ProcessName>,
        at: Timestamp,
        change: (ProcessRow) -> ProcessRow,
    ): CheckTables {
        val changed = names.fold(processes) { rows, name ->
            val row = change(rows[name] ?: ProcessRow())
            rows.put(name, row.copy(disturbedAt = latest(row.disturbedAt, at)))
        }
        return copy(processes = changed, disturbedAt = latest(disturbedAt, at))
    }

    private fun latest(previous: Timestamp?, at: Timestamp): Timestamp = maxOf(previous ?: at, at)
}

/**
 * Time limits hold for [process]: neither it nor the core has had a fault for the stability window. A fault after [at]
 * counts too, since it may have struck work that was still in progress.
 */
internal fun CheckSettings.isInTouch(tables: CheckTables, process: ProcessName, at: Timestamp): Boolean =
    (core + process).mapNotNull { tables.processes[it] }.all { row ->
        val calmMillis = row.disturbedAt?.let { at - it } ?: Long.MAX_VALUE
        row.activeFaults.isEmpty() && calmMillis >= stabilityWindowMillis
    }
