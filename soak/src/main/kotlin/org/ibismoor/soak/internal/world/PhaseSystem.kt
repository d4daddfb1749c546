/**
 * Leads the soak through its phases. Each has a time limit, so that the soak ends also if the fleet does not serve.
 */
package org.ibismoor.soak.internal.world

import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.foldSteps
import org.ibismoor.core.api.then
import org.ibismoor.soak.api.ProcessName

private const val START_TIMEOUT_MILLIS = 60_000L
private const val FINISH_MILLIS = 5_500L
private const val STOP_TIMEOUT_MILLIS = 10_000L
private const val MILLIS_PER_SECOND = 1_000L

internal class PhaseSystem : SoakSystem {
    override fun run(tables: SoakTables, tick: Tick<SoakMessage>): SoakStep =
        forEachMessage(tables, tick) { current, message ->
            val work = (message as? WorkDue)?.work
            when {
                message is SoakStarted ->
                    Step(current.at(tick.now + START_TIMEOUT_MILLIS, PhaseDue(SoakPhase.STOPPING)))
                work is PhaseDue -> enterIfLater(current, work.phase, tick.now)
                else -> Step(current)
            }
        }.then { enterIfReached(it, tick.now) }

    private fun enterIfReached(tables: SoakTables, now: Timestamp): SoakStep =
        when {
            tables.phase == SoakPhase.STARTING && isServing(tables) -> startServing(tables, now)
            tables.phase == SoakPhase.STOPPING && tables.processes.values.none { it.isRunning } ->
                enterIfLater(tables, SoakPhase.STOPPED, now)
            else -> Step(tables)
        }

    private fun isServing(tables: SoakTables): Boolean =
        tables.operator.isConfirmed && tables.directories.values.all { it.addresses.isNotEmpty() }

    private fun startServing(tables: SoakTables, now: Timestamp): SoakStep {
        val serving = startCallers(tables.copy(phase = SoakPhase.SERVING, servingSince = now), now)
        val planned = tables.schedule.faults.fold(serving) { current, fault ->
            current.at(now + fault.beginMillis, FaultBegins(fault.number))
        }
        return Step(planned.at(now + tables.schedule.seconds * MILLIS_PER_SECOND, PhaseDue(SoakPhase.FINISHING)))
    }

    /** The start timeout has no effect once the fleet has served. */
    private fun enterIfLater(tables: SoakTables, phase: SoakPhase, now: Timestamp): SoakStep {
        val isStale = phase == SoakPhase.STOPPING && tables.phase == SoakPhase.SERVING
        if (phase <= tables.phase || isStale) return Step(tables)
        val entered = tables.copy(phase = phase)
        return when (phase) {
            SoakPhase.FINISHING -> Step(entered.at(now + FINISH_MILLIS, PhaseDue(SoakPhase.STOPPING)))
            SoakPhase.STOPPING -> stopProcesses(entered.at(now + STOP_TIMEOUT_MILLIS, PhaseDue(SoakPhase.STOPPED)))
            else -> Step(entered, listOf(EndSoak))
        }
    }

    private fun stopProcesses(tables: SoakTables): SoakStep =
        foldSteps(tables, tables.processes.filterValues { it.isRunning }.entries) { current, (name, row) ->
            Step(current.withProcess(name, row.copy(isEndRequested = true)), stopSignals(name))
        }

    private fun stopSignals(name: ProcessName): List<SoakEffect> =
        listOf(ProcessSignal.TERM, ProcessSignal.CONT).map { SignalProcess(name, it) }
}
