/**
 * Makes a schedule from a seed. Faults come in series that overlap. The fleet tolerates the loss of one control VM, so
 * all faults of a series that hit a control VM hit the same one, and a disk is lost only in a series of its own. The
 * run ends with a calm time.
 */
package org.ibismoor.soak.internal.schedule

import org.ibismoor.core.api.SeededRandom
import org.ibismoor.soak.internal.CALLER_HOST_NAME
import org.ibismoor.soak.internal.FleetLayout
import org.ibismoor.soak.internal.LIST_HOST_NAME
import org.ibismoor.soak.internal.controlName
import org.ibismoor.soak.internal.isControl
import org.ibismoor.soak.internal.routerName
import org.ibismoor.soak.internal.vmName

/** Time without faults at the start and at the end of a run. */
private const val CALM_BEGIN_MILLIS = 3_000L
internal const val CALM_END_MILLIS = 15_000L
private const val MINIMUM_SERIES_MILLIS = 6_000L
private const val SERIES_SPREAD_MILLIS = 6_000L

/** Time between series, in which a control process catches up. */
private const val GAP_MILLIS = 5_000L
private const val MINIMUM_FAULTS = 2L
private const val FAULT_SPREAD = 4L
private const val MINIMUM_FAULT_MILLIS = 500L
private const val FAULT_SPREAD_MILLIS = 4_000L

/** A disk is lost in one of this many series. */
private const val DISK_LOSS_SHARE = 4L

/** One in this many faults on VMs hits the control VM of the series. */
private const val CONTROL_VM_SHARE = 2L
private const val MILLIS_PER_SECOND = 1_000L

internal fun createSchedule(seed: Long, layout: FleetLayout, seconds: Int): FaultSchedule {
    val end = seconds * MILLIS_PER_SECOND - CALM_END_MILLIS
    val draws = Draws(seed)
    val faults = generateSequence(series(draws, layout, CALM_BEGIN_MILLIS)) { previous ->
        series(draws, layout, previous.endMillis + GAP_MILLIS)
    }.takeWhile { it.endMillis <= end }.flatMap { it.faults }.toList()
    val numbered = faults.sortedBy { it.beginMillis }.mapIndexed { index, fault -> fault.copy(number = index + 1) }
    return FaultSchedule(seed, layout.routers, seconds, numbered)
}

private data class Series(val endMillis: Long, val faults: List<ScheduledFault>)

/** Draws numbers one after the other. It lives only while a schedule is made. */
private class Draws(seed: Long) {
    private var random = SeededRandom(seed)

    fun below(bound: Long): Long = random.below(bound).also { random = random.advance() }

    fun isOneOf(share: Long): Boolean = below(share) == 0L

    fun <T> pick(values: List<T>): T = values[below(values.size.toLong()).toInt()]
}

/** All faults of a series that hit a control VM hit [controlVm]. */
private data class SeriesFrame(val controlVm: Int, val beginMillis: Long, val lengthMillis: Long)

private fun series(draws: Draws, layout: FleetLayout, begin: Long): Series {
    val length = MINIMUM_SERIES_MILLIS + draws.below(SERIES_SPREAD_MILLIS)
    val frame = SeriesFrame(draws.pick(layout.controlVms), begin, length)
    val count = MINIMUM_FAULTS + draws.below(FAULT_SPREAD)
    val faults = (1..count).map { scheduled(draws, frame, drawFault(draws, layout, frame.controlVm)) }
    return Series(begin + length, withOneDiskLoss(draws, layout, frame, faults))
}

private fun scheduled(draws: Draws, frame: SeriesFrame, fault: Fault): ScheduledFault {
    val duration = MINIMUM_FAULT_MILLIS + draws.below(FAULT_SPREAD_MILLIS)
    val begin = frame.beginMillis + draws.below(frame.lengthMillis - duration)
    return ScheduledFault(number = 0, begin, begin + duration, fault)
}

/** In some series, the control process loses its disk in place of all other faults that hit its VM. */
private fun withOneDiskLoss(
    draws: Draws,
    layout: FleetLayout,
    frame: SeriesFrame,
    faults: List<ScheduledFault>,
): List<ScheduledFault> {
    if (!draws.isOneOf(DISK_LOSS_SHARE)) return faults
    val loss = KillProcess(controlName(frame.controlVm), isDiskLost = true)
    return faults.filterNot { hitsControl(it.fault, layout) } + scheduled(draws, frame, loss)
}

private fun hitsControl(fault: Fault, layout: FleetLayout): Boolean =
    when (fault) {
        is TerminateProcess -> layout.isControl(fault.process)
        is KillProcess -> layout.isControl(fault.process)
        is PauseProcess -> layout.isControl(fault.process)
        is DisturbLink -> layout.controlVms.any { vmName(it) in listOf(fault.source, fault.target) }
        else -> false
    }

private enum class FaultKind { TERMINATE, KILL, PAUSE, LINK, LIST, UPSTREAM }

/** Kinds that are named twice come twice as often. */
private val FAULT_KINDS = FaultKind.entries + FaultKind.LINK + FaultKind.UPSTREAM

private fun drawFault(draws: Draws, layout: FleetLayout, controlVm: Int): Fault =
    when (draws.pick(FAULT_KINDS)) {
        FaultKind.TERMINATE -> TerminateProcess(drawProcess(draws, layout, controlVm))
        FaultKind.KILL -> KillProcess(drawProcess(draws, layout, controlVm))
        FaultKind.PAUSE -> PauseProcess(drawProcess(draws, layout, controlVm))
        FaultKind.LINK -> drawLink(draws, layout, controlVm)
        FaultKind.LIST -> DisturbList(draws.pick(OddEntry.entries))
        FaultKind.UPSTREAM ->
            DisturbUpstream(draws.pick(layout.upstreams).slot, draws.pick(UpstreamTrouble.entries))
    }

/** Callers use the routers on control VMs, so every second fault hits the control VM of the series. */
private fun drawProcess(draws: Draws, layout: FleetLayout, controlVm: Int): String =
    if (draws.isOneOf(CONTROL_VM_SHARE)) {
        draws.pick(listOf(routerName(controlVm), controlName(controlVm)))
    } else {
        draws.pick(layout.vms.map(::routerName))
    }

/** Between VMs, one end is the control VM of the series or a VM without a control process. */
private fun drawLink(draws: Draws, layout: FleetLayout, controlVm: Int): DisturbLink {
    val others = layout.vms.filter { it !in layout.controlVms }
    val isControlVm = draws.isOneOf(CONTROL_VM_SHARE) || others.isEmpty()
    val vm = vmName(if (isControlVm) controlVm else draws.pick(others))
    val other = draws.pick(layout.vms.map(::vmName).filter { it != vm })
    val upstream = draws.pick(layout.upstreams).slot
    val disturbance = draws.pick(Disturbance.entries)
    return draws.pick(
        listOf(
            DisturbLink(other, vm, disturbance),
            DisturbLink(vm, other, disturbance),
            DisturbLink(CALLER_HOST_NAME, vm, disturbance),
            DisturbLink(vm, upstream, disturbance),
            DisturbLink(null, upstream, disturbance),
            DisturbLink(vmName(controlVm), LIST_HOST_NAME, disturbance),
        ),
    )
}
