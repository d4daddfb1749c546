/**
 * Troubles of upstreams that change which upstream is at an address.
 */
package org.ibismoor.soak.internal.world

import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.core.api.foldSteps
import org.ibismoor.core.api.then
import org.ibismoor.soak.api.AttemptFinished
import org.ibismoor.soak.api.UpstreamCrashed
import org.ibismoor.soak.internal.UpstreamSlot
import org.ibismoor.soak.internal.schedule.DisturbUpstream
import org.ibismoor.soak.internal.schedule.UpstreamTrouble

/** Time from a crash until another upstream runs at the address. */
private const val RESTART_MILLIS = 700L

/** Time by which the upstream list lags behind the upstreams. */
internal const val LIST_LAG_MILLIS = 500L

internal fun startedUpstream(slot: UpstreamSlot, incarnation: Int): UpstreamRow =
    UpstreamRow(slot, UpstreamId("${slot.slot}-i$incarnation"), incarnation)

internal fun beginUpstreamTrouble(tables: SoakTables, number: Int, fault: DisturbUpstream, now: Timestamp): SoakStep {
    val row = tables.upstreams.getValue(fault.upstream)
    val troubled = row.copy(troubles = row.troubles.put(number, fault.trouble))
    val current = tables.withUpstream(troubled)
    return when (fault.trouble) {
        UpstreamTrouble.CRASH -> crash(current, troubled, promptPart = null, now)
        UpstreamTrouble.REPLACE -> stopUpstream(current, troubled, now).then { start(it, fault.upstream, now) }
        UpstreamTrouble.LEAVE ->
            Step(current.withUpstream(troubled.copy(isLeaving = true)).at(now + LIST_LAG_MILLIS, ListDue))
        else -> Step(current)
    }
}

internal fun endUpstreamTrouble(tables: SoakTables, number: Int, fault: DisturbUpstream, now: Timestamp): SoakStep {
    val row = tables.upstreams.getValue(fault.upstream)
    val relieved = row.copy(troubles = row.troubles.remove(number))
    val current = tables.withUpstream(relieved)
    return when (fault.trouble) {
        UpstreamTrouble.CRASH -> restart(current, fault.upstream, now)
        UpstreamTrouble.LEAVE -> stopUpstream(current, relieved, now).then { restart(it, fault.upstream, now) }
        else -> Step(current)
    }
}

/** The upstream loses its attempts and is back a moment later as another one, unless a fault keeps it down. */
internal fun crash(tables: SoakTables, row: UpstreamRow, promptPart: String?, now: Timestamp): SoakStep {
    if (!row.isRunning) return Step(tables)
    return Step(tables, listOf(Observe(UpstreamCrashed(now, row.id, promptPart))))
        .then { stopUpstream(it, row, now) }
        .then { Step(it.at(now + RESTART_MILLIS, UpstreamRestartDue(row.slot.slot))) }
}

private fun stopUpstream(tables: SoakTables, row: UpstreamRow, now: Timestamp): SoakStep {
    val ended = foldSteps(tables, row.active) { current, attempt ->
        endAttempt(current, attempt, AttemptFinished(now, attempt, null))
    }
    return ended.then { current ->
        val stopped = current.upstreams.getValue(row.slot.slot).copy(isRunning = false)
        Step(current.withUpstream(stopped).at(now + LIST_LAG_MILLIS, ListDue), listOf(CloseUpstream(row.slot.slot)))
    }
}

internal fun restart(tables: SoakTables, slot: String, now: Timestamp): SoakStep {
    val row = tables.upstreams.getValue(slot)
    val isKeptDown = row.isRunning || row.hasTrouble(UpstreamTrouble.CRASH)
    return if (isKeptDown) Step(tables) else start(tables, slot, now)
}

private fun start(tables: SoakTables, slot: String, now: Timestamp): SoakStep {
    val row = tables.upstreams.getValue(slot)
    val next = startedUpstream(row.slot, row.incarnation + 1).copy(troubles = row.troubles)
    return Step(tables.withUpstream(next).at(now + LIST_LAG_MILLIS, ListDue), listOf(OpenUpstream(slot)))
}
