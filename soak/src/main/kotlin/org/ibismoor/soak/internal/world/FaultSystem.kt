/**
 * Begins and ends the faults of the schedule. Faults on one process overlap: it runs again when none holds it.
 */
package org.ibismoor.soak.internal.world

import kotlinx.collections.immutable.PersistentMap
import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.then
import org.ibismoor.soak.api.FaultBegan
import org.ibismoor.soak.api.FaultEnded
import org.ibismoor.soak.api.ProcessName
import org.ibismoor.soak.internal.FleetLayout
import org.ibismoor.soak.internal.controlName
import org.ibismoor.soak.internal.routerName
import org.ibismoor.soak.internal.schedule.DisturbLink
import org.ibismoor.soak.internal.schedule.DisturbList
import org.ibismoor.soak.internal.schedule.DisturbUpstream
import org.ibismoor.soak.internal.schedule.Fault
import org.ibismoor.soak.internal.schedule.KillProcess
import org.ibismoor.soak.internal.schedule.OddEntry
import org.ibismoor.soak.internal.schedule.PauseProcess
import org.ibismoor.soak.internal.schedule.ScheduledFault
import org.ibismoor.soak.internal.schedule.TerminateProcess
import org.ibismoor.soak.internal.vmName

internal class FaultSystem : SoakSystem {
    override fun run(tables: SoakTables, tick: Tick<SoakMessage>): SoakStep =
        forEachMessage(tables, tick) { current, message ->
            when (val work = (message as? WorkDue)?.work) {
                is FaultBegins -> beginFault(current, faultOf(current, work.number), tick.now)
                is FaultEnds -> endFault(current, faultOf(current, work.number), tick.now)
                else -> Step(current)
            }
        }

    private fun faultOf(tables: SoakTables, number: Int): ScheduledFault =
        tables.schedule.faults.first { it.number == number }

    private fun beginFault(tables: SoakTables, scheduled: ScheduledFault, now: Timestamp): SoakStep {
        val affected = affectedProcesses(scheduled.fault, tables.layout)
        val observed = Step(
            tables.at(now + (scheduled.endMillis - scheduled.beginMillis), FaultEnds(scheduled.number)),
            listOf(Observe(FaultBegan(now, scheduled.number, affected))),
        )
        return observed.then { begin(it, scheduled.number, scheduled.fault, now) }
    }

    private fun begin(tables: SoakTables, number: Int, fault: Fault, now: Timestamp): SoakStep =
        when (fault) {
            is TerminateProcess -> stop(tables, number, ProcessName(fault.process), ProcessSignal.TERM)
            is KillProcess -> kill(tables, number, fault)
            is PauseProcess -> pause(tables, number, ProcessName(fault.process))
            is DisturbLink -> withLinks(tables.copy(links = tables.links.put(number, fault)))
            is DisturbUpstream -> beginUpstreamTrouble(tables, number, fault, now)
            is DisturbList -> withOddEntries(tables, tables.oddEntries.put(number, fault.entry), now)
        }

    private fun endFault(tables: SoakTables, scheduled: ScheduledFault, now: Timestamp): SoakStep =
        end(tables, scheduled.number, scheduled.fault, now)
            .then { Step(it, listOf(Observe(FaultEnded(now, scheduled.number)))) }

    private fun end(tables: SoakTables, number: Int, fault: Fault, now: Timestamp): SoakStep =
        when (fault) {
            is TerminateProcess -> release(tables, number, ProcessName(fault.process), now)
            is KillProcess -> release(tables, number, ProcessName(fault.process), now)
            is PauseProcess -> resume(tables, number, ProcessName(fault.process))
            is DisturbLink -> withLinks(tables.copy(links = tables.links.remove(number)))
            is DisturbUpstream -> endUpstreamTrouble(tables, number, fault, now)
            is DisturbList -> withOddEntries(tables, tables.oddEntries.remove(number), now)
        }

    private fun withLinks(tables: SoakTables): SoakStep =
        Step(tables, listOf(SetLinkFaults(tables.links.values.toList())))

    private fun withOddEntries(tables: SoakTables, entries: PersistentMap<Int, OddEntry>, now: Timestamp): SoakStep =
        Step(tables.copy(oddEntries = entries).at(now, ListDue))
}

private fun stop(tables: SoakTables, number: Int, name: ProcessName, signal: ProcessSignal): SoakStep {
    val row = tables.processes.getValue(name)
    val stopped = row.copy(stoppedBy = row.stoppedBy.add(number), isEndRequested = row.isRunning)
    return Step(tables.withProcess(name, stopped), listOf(SignalProcess(name, signal)).filter { row.isRunning })
}

private fun kill(tables: SoakTables, number: Int, fault: KillProcess): SoakStep {
    val name = ProcessName(fault.process)
    return stop(tables, number, name, ProcessSignal.KILL).then { stopped ->
        val row = stopped.processes.getValue(name)
        Step(stopped.withProcess(name, row.copy(isDiskLost = row.isDiskLost || fault.isDiskLost)))
    }
}

private fun release(tables: SoakTables, number: Int, name: ProcessName, now: Timestamp): SoakStep {
    val row = tables.processes.getValue(name)
    return startIfDown(tables.withProcess(name, row.copy(stoppedBy = row.stoppedBy.remove(number))), name, now)
}

private fun pause(tables: SoakTables, number: Int, name: ProcessName): SoakStep {
    val row = tables.processes.getValue(name)
    val signals = listOf(SignalProcess(name, ProcessSignal.STOP)).filter { row.isRunning }
    return Step(tables.withProcess(name, row.copy(pausedBy = row.pausedBy.add(number))), signals)
}

private fun resume(tables: SoakTables, number: Int, name: ProcessName): SoakStep {
    val row = tables.processes.getValue(name)
    val resumed = row.copy(pausedBy = row.pausedBy.remove(number))
    val signals = listOf(SignalProcess(name, ProcessSignal.CONT)).filter { row.isRunning && resumed.pausedBy.isEmpty() }
    return Step(tables.withProcess(name, resumed), signals)
}

/** Processes whose guarantees with a time limit are suspended. A fault between two VMs affects both. */
internal fun affectedProcesses(fault: Fault, layout: FleetLayout): Set<ProcessName> =
    when (fault) {
        is TerminateProcess -> setOf(ProcessName(fault.process))
        is KillProcess -> setOf(ProcessName(fault.process))
        is PauseProcess -> setOf(ProcessName(fault.process))
        is DisturbLink -> processesAt(fault, layout)
        is DisturbUpstream, is DisturbList -> emptySet()
    }

private fun processesAt(link: DisturbLink, layout: FleetLayout): Set<ProcessName> {
    val vms = layout.vms.filter { link.source == null || vmName(it) in setOf(link.source, link.target) }
    val controls = vms.filter { it in layout.controlVms }.map(::controlName)
    return (vms.map(::routerName) + controls).map(::ProcessName).toSet()
}
