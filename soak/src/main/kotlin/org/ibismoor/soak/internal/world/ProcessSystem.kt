/**
 * Starts the processes of the fleet, and starts those again that have ended and that no fault keeps down.
 */
package org.ibismoor.soak.internal.world

import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.foldSteps
import org.ibismoor.soak.api.ProcessEnded
import org.ibismoor.soak.api.ProcessName
import org.ibismoor.soak.api.ProcessStarted

/** Delay before a process that ended by itself is started again. */
private const val RESTART_DELAY_MILLIS = 500L

internal class ProcessSystem : SoakSystem {
    override fun run(tables: SoakTables, tick: Tick<SoakMessage>): SoakStep =
        forEachMessage(tables, tick) { current, message ->
            when (message) {
                is SoakStarted ->
                    foldSteps(current, current.processes.keys) { state, name -> startIfDown(state, name, tick.now) }
                is ProcessExited -> handleExit(current, message, tick.now)
                is WorkDue -> restartIfDue(current, message.work, tick.now)
                else -> SoakStep(current)
            }
        }

    private fun restartIfDue(tables: SoakTables, work: DueWork, now: Timestamp): SoakStep =
        if (work is ProcessRestartDue) startIfDown(tables, work.process, now) else SoakStep(tables)

    private fun handleExit(tables: SoakTables, exit: ProcessExited, now: Timestamp): SoakStep {
        val row = tables.processes.getValue(exit.process)
        val ended = row.copy(isRunning = false, isEndRequested = false)
        val observation = ProcessEnded(now, exit.process, exit.exitCode, row.isEndRequested)
        return SoakStep(
            tables.withProcess(exit.process, ended)
                .at(now + RESTART_DELAY_MILLIS, ProcessRestartDue(exit.process)),
            listOf(Observe(observation)),
        )
    }
}

internal fun SoakTables.withProcess(name: ProcessName, row: ProcessRow): SoakTables =
    copy(processes = processes.put(name, row))

internal fun startIfDown(tables: SoakTables, name: ProcessName, now: Timestamp): SoakStep {
    val row = tables.processes.getValue(name)
    val isWanted = tables.phase < SoakPhase.STOPPING && row.stoppedBy.isEmpty() && !row.isRunning
    if (!isWanted) return SoakStep(tables)
    val started = row.copy(isRunning = true, isEndRequested = false, isDiskLost = false, starts = row.starts + 1)
    return SoakStep(
        tables.withProcess(name, started),
        listOf(StartProcess(name, row.starts == 0, row.isDiskLost), Observe(ProcessStarted(now, name))),
    )
}
