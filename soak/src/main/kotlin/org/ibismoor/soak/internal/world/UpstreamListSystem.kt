/**
 * The platform's list of upstreams. It changes some time after the upstreams do.
 */
package org.ibismoor.soak.internal.world

import kotlinx.collections.immutable.toPersistentHashMap
import org.ibismoor.coordination.api.UpstreamEntry
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.SoftwareVersion
import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.platform.api.PlatformDocuments
import org.ibismoor.soak.api.UpstreamLeaving
import org.ibismoor.soak.internal.schedule.OddEntry

private const val NESTED_LEVELS = 20_000
private val UPSTREAM_VERSION = SoftwareVersion("v1")

internal class UpstreamListSystem(private val documents: PlatformDocuments) : SoakSystem {
    override fun run(tables: SoakTables, tick: Tick<SoakMessage>): SoakStep {
        val isDue = tick.messages.any { it is SoakStarted || it == WorkDue(ListDue) }
        return if (isDue) publish(tables, tick.now) else Step(tables)
    }

    private fun publish(tables: SoakTables, now: Timestamp): SoakStep {
        val entries = tables.upstreams.values.filter { it.isRunning }.map { entryOf(it, tables) }
        val listed = entries.associate { it.id to it.isLeaving }
        val leaving = listed.filterValues { it }.keys
        val gone = tables.listed.keys - listed.keys
        val newlyLeaving = (leaving + gone).filter { tables.listed[it] == false }
        val page = documents.listPage(entries, tables.oddEntries.values.map(::oddEntryText))
        return Step(
            tables.copy(listed = listed.toPersistentHashMap()),
            newlyLeaving.map { Observe(UpstreamLeaving(now, it)) } + SetListPage(page),
        )
    }

    private fun entryOf(row: UpstreamRow, tables: SoakTables): UpstreamEntry =
        UpstreamEntry(
            id = row.id,
            group = row.slot.group,
            address = tables.layout.addressOf(row.slot),
            domain = FailureDomainId(row.slot.domain),
            slots = row.slots,
            isLeaving = row.isLeaving,
            coldMillis = 0,
            version = UPSTREAM_VERSION,
        )

    private fun oddEntryText(entry: OddEntry): String =
        when (entry) {
            OddEntry.NESTED -> "[".repeat(NESTED_LEVELS) + "]".repeat(NESTED_LEVELS)
            OddEntry.OUT_OF_RANGE -> documents.outOfRangeEntry
            OddEntry.GARBLED -> "{\"\uFFFD\":1,\"a\":\"\uFFFD\"}"
        }
}
