/**
 * Takes requests from the queue while their upstream group has capacity.
 */
package org.ibismoor.routing.internal

import kotlinx.collections.immutable.persistentHashSetOf
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.UpstreamGroupId
import org.ibismoor.routing.api.GroupRow
import org.ibismoor.routing.api.RoutingMessage
import org.ibismoor.routing.api.RoutingSettings
import org.ibismoor.routing.api.RoutingTables
import org.ibismoor.routing.api.StreamPhase

internal class QueueSystem(private val settings: RoutingSettings) : RoutingSystem {
    override fun run(tables: RoutingTables, tick: Tick<RoutingMessage>): RoutingStep =
        if (tables.groupsToAdmit.isEmpty()) {
            tables.step()
        } else {
            tables.groupsToAdmit.sorted().fold(tables) { t, id -> admitQueued(t, id) }
                .copy(groupsToAdmit = persistentHashSetOf())
                .step()
        }

    private tailrec fun admitQueued(tables: RoutingTables, id: UpstreamGroupId): RoutingTables {
        val group = tables.group(id)
        val dequeued = if (hasCapacity(group)) settings.queue.dequeue(group.queue) else null
        if (dequeued == null) return tables
        val row = tables.streams.getValue(dequeued.entry.id).copy(phase = StreamPhase.RESERVING)
        val withoutEntry = tables.withGroup(id, group.copy(queue = dequeued.remaining))
        val next = withoutEntry.putStream(row, settings.limits)
        val streamsToReserve = next.streamsToReserve.add(row.id)
        return admitQueued(next.copy(queuedCount = next.queuedCount - 1, streamsToReserve = streamsToReserve), id)
    }

    private fun hasCapacity(group: GroupRow): Boolean =
        group.usable.isNotEmpty() && group.active < settings.concurrency.activeLimit(group, activeUpperBound(group))

    private fun activeUpperBound(group: GroupRow): Int = group.usable.size * settings.limits.inFlightPerUpstream
}
