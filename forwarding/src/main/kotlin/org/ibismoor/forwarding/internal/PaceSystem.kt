/**
 * Learns from the list and from answers which upstreams have started or are cold. At the first list of this process the
 * upstreams are new to it only, so that the list alone says which of them are cold.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.core.api.SeededRandom
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.foldSteps
import org.ibismoor.forwarding.api.ColdAnnounced
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.ReportAnswered
import org.ibismoor.forwarding.api.UpstreamRow
import org.ibismoor.pacing.api.PaceEvent
import org.ibismoor.pacing.api.PaceRow
import org.ibismoor.pacing.api.paceSeedOf

/** Bound on a cold time that an answer states, so that a wrong value does not slow an upstream down for good. */
private const val MAXIMUM_COLD_MILLIS = 60_000L

internal class PaceSystem(private val settings: ForwardingSettings) : ForwardingSystem {
    override fun run(tables: ForwardingTables, tick: Tick<ForwardingMessage>): ForwardingStep =
        foldSteps(tables, tick.messages) { table, message ->
            when (message) {
                is ReportAnswered -> applyList(table, message, tick.now)
                is ColdAnnounced -> {
                    val event = PaceEvent.BecameCold(message.remainingMillis.coerceAtMost(MAXIMUM_COLD_MILLIS))
                    table.withPaceEvent(message.upstream, event, settings, tick.now)
                }
                else -> ForwardingStep(table)
            }
        }

    private fun applyList(tables: ForwardingTables, message: ReportAnswered, now: Timestamp): ForwardingStep {
        val list = message.answer.upstreams
        val isApplied = list != null && list.revision == tables.fleet.upstreamRevision
        if (!isApplied) return ForwardingStep(tables)
        val isFirst = tables.upstreams.values.all { it.pace == null }
        return foldSteps(tables, tables.upstreams.values) { table, row -> applyEntry(table, row, isFirst, now) }
    }

    private fun applyEntry(
        tables: ForwardingTables,
        row: UpstreamRow,
        isFirst: Boolean,
        now: Timestamp,
    ): ForwardingStep {
        val id = row.entry.id
        val listedMillis = row.entry.coldMillis
        val startMillis = tables.configuration?.groups?.get(row.entry.group)?.cold?.startMillis ?: 0
        return when {
            row.pace != null ->
                tables.withPaceEvent(id, PaceEvent.BecameCold(listedMillis), settings, now)
            else -> {
                val coldMillis = if (isFirst || listedMillis > 0) listedMillis else startMillis
                val pace = PaceRow(random = SeededRandom(paceSeedOf(settings.entry.address, id.text)))
                tables.copy(upstreams = tables.upstreams.put(id, row.copy(pace = pace)))
                    .withPaceEvent(id, PaceEvent.Returned(coldMillis), settings, now)
            }
        }
    }
}
