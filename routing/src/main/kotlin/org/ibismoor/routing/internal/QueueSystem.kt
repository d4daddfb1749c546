/**
 * Lets requests out of the queue while their upstream group has room.
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
        if (tables.toAdmit.isEmpty()) {
            tables.step()
        } else {
            tables.toAdmit.sorted().fold(tables) { t, id -> admit(t, id) }
                .copy(toAdmit = persistentHashSetOf())
                .step()
        }

    private tailrec fun admit(tables: RoutingTables, id: UpstreamGroupId): RoutingTables {
        val group = tables.group(id)
        val turn = if (hasRoom(group)) settings.queue.next(group.queue) else null
        if (turn == null) return tables
        val row = tables.streams.getValue(turn.entry.stream).copy(phase = StreamPhase.RESERVING)
        val left = tables.with(id, group.copy(queue = turn.rest))
        val next = left.put(row, settings.limits)
        return admit(next.copy(queued = next.queued - 1, toReserve = next.toReserve.add(row.id)), id)
    }

    private fun hasRoom(group: GroupRow): Boolean =
        group.usable.isNotEmpty() && group.active < settings.concurrency.room(group, largest(group))

    private fun largest(group: GroupRow): Int = group.usable.size * settings.limits.inFlightPerUpstream
}
