/**
 * Applies the pace of upstreams to the selection. The cold bound is never exceeded. The limit in flight makes the
 * selection prefer other upstreams, but a request that nothing else serves is sent all the same.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.core.api.Timestamp
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.PolicySwitch
import org.ibismoor.forwarding.api.UpstreamRow
import org.ibismoor.pacing.api.ColdLimit
import org.ibismoor.pacing.api.PaceEvent
import org.ibismoor.pacing.api.SharedSlots
import org.ibismoor.pacing.api.after
import org.ibismoor.pacing.api.coldBoundOf

internal class UpstreamPacing(private val settings: ForwardingSettings) {
    /** True if another request to [row] breaks no bound. Groups without a pace keep the limit after a pause. */
    fun allows(tables: ForwardingTables, row: UpstreamRow, now: Timestamp): Boolean {
        val hasRoom = tables.isPaced(row, settings) || row.hasResumed(now, settings.times.resumptionMillis)
        return hasRoom && row.pace?.allowsCold(coldLimitOf(tables, row, now), now) != false
    }

    /**
     * Of [rows], cold ones that this router has not tried, else those within their limits, else the one that exceeds
     * its limit least.
     */
    fun preferred(tables: ForwardingTables, rows: List<UpstreamRow>, now: Timestamp): List<UpstreamRow> {
        val untried = rows.filter { row ->
            coldLimitOf(tables, row, now)?.let { row.pace?.isUntried(it, now) } == true
        }
        val isLimited = rows.any { it.pace?.ramp != null && tables.isPaced(it, settings) }
        return when {
            untried.isNotEmpty() -> untried
            !isLimited -> rows
            else -> withinLimits(tables, rows, now).ifEmpty { rows.sortedBy(::excess).take(1) }
        }
    }

    private fun withinLimits(tables: ForwardingTables, rows: List<UpstreamRow>, now: Timestamp): List<UpstreamRow> =
        rows.filter { row -> !tables.isPaced(row, settings) || row.pace?.allowsRamp(row.inFlight, now) != false }

    private fun excess(row: UpstreamRow): Double = row.inFlight - (row.pace?.ramp?.limit ?: 0.0)

    /** Time until the cold bound permits a request to [row]; 0 if it does now. */
    fun waitMillis(tables: ForwardingTables, row: UpstreamRow, now: Timestamp): Long =
        coldLimitOf(tables, row, now)?.let { row.pace?.coldWaitMillis(it, now) } ?: 0

    fun withSend(row: UpstreamRow, now: Timestamp): UpstreamRow =
        row.copy(pace = row.pace?.after(PaceEvent.Sent, SharedSlots(row.entry.slots, 1), settings.pacing, now))

    /** Null if [row] is not known to be cold or its group has no bound. */
    private fun coldLimitOf(tables: ForwardingTables, row: UpstreamRow, now: Timestamp): ColdLimit? {
        val cold = tables.configuration?.groups?.get(row.entry.group)?.cold
        if (cold == null || row.pace?.isCold(now) != true) return null
        val routers = tables.fleet.routers.map { it.address }
        return coldBoundOf(cold.requestsPerSecond, settings.pacing)
            .limitOf(row.entry.id, settings.entry.address, routers)
    }
}

/**
 * True if the limit in flight applies to [row]. An upstream that has just started has not reported its load yet, so the
 * reports of its group decide.
 */
internal fun ForwardingTables.isPaced(row: UpstreamRow, settings: ForwardingSettings): Boolean =
    when (settings.policies.upstreamPacing) {
        PolicySwitch.OFF -> false
        PolicySwitch.ON -> true
        PolicySwitch.AUTO -> upstreams.values.any {
            it.entry.group == row.entry.group && it.load?.workTimePercent != null
        }
    }
