/**
 * Changes to the lanes of a queue that the policies share. Adding, removing and taking a request each cost O(log n).
 */
package org.ibismoor.admission.internal

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentSetOf
import org.ibismoor.admission.api.LaneId
import org.ibismoor.admission.api.QueueEntry
import org.ibismoor.admission.api.QueueLane
import org.ibismoor.admission.api.QueueRow
import org.ibismoor.core.api.Timestamp

/** Requests are counted by intervals of this length in their order, so that counting those ahead visits few rows. */
private const val COUNT_INTERVAL = 256L

internal fun <K> QueueRow<K>.withEntry(id: LaneId, entry: QueueEntry<K>, returnedDeficit: Long = 0): QueueRow<K> {
    val lane = lanes[id]
    val order = serviceOrder[id.rank] ?: persistentSetOf()
    val next = (lane ?: QueueLane()).let {
        it.copy(
            entries = it.entries.put(entry.id, entry),
            schedule = it.schedule.plus(Timestamp(entry.order), entry),
            counts = it.counts.changed(entry, 1),
            deficit = it.deficit + returnedDeficit,
        )
    }
    return QueueRow(
        lanes = lanes.put(id, next),
        serviceOrder = if (lane == null) serviceOrder.put(id.rank, order.add(id.organisation)) else serviceOrder,
        sizes = sizes.put(id.rank, (sizes[id.rank] ?: 0) + 1),
        size = size + 1,
    )
}

/** An empty lane is removed with its deficit, so an idle organisation does not accumulate credit. */
internal fun <K> QueueRow<K>.withoutEntry(id: LaneId, entry: QueueEntry<K>): QueueRow<K> {
    val lane = lanes[id]?.takeIf { entry.id in it.entries } ?: return this
    val next = lane.copy(
        entries = lane.entries.remove(entry.id),
        counts = lane.counts.changed(lane.entries.getValue(entry.id), -1),
    )
    val remaining = copy(
        lanes = lanes.put(id, next.withoutRemoved()),
        sizes = sizes.put(id.rank, sizes.getValue(id.rank) - 1),
        size = size - 1,
    )
    return if (next.entries.isEmpty()) remaining.withoutLane(id) else remaining
}

internal fun <K> QueueLane<K>.first(): QueueEntry<K> = checkNotNull(schedule.first)

/** Number of requests that are taken before one at [order]; those of its own interval count too. */
internal fun <K> QueueLane<K>.countBefore(order: Long): Int {
    val interval = Math.floorDiv(order, COUNT_INTERVAL)
    return counts.entries.sumOf { (key, count) -> if (key <= interval) count else 0 }
}

/** Drops removed requests from the head of the schedule, so that its first entry always waits. */
private fun <K> QueueLane<K>.withoutRemoved(): QueueLane<K> {
    var rest = schedule
    while (isRemoved(rest.first)) rest = rest.withoutFirst()
    return copy(schedule = rest)
}

private fun <K> QueueLane<K>.isRemoved(entry: QueueEntry<K>?): Boolean = entry != null && entries[entry.id] != entry

private fun <K> PersistentMap<Long, Int>.changed(entry: QueueEntry<K>, change: Int): PersistentMap<Long, Int> {
    val interval = Math.floorDiv(entry.order, COUNT_INTERVAL)
    val count = (this[interval] ?: 0) + change
    return if (count > 0) put(interval, count) else remove(interval)
}

private fun <K> QueueRow<K>.withoutLane(id: LaneId): QueueRow<K> {
    val order = serviceOrder.getValue(id.rank).remove(id.organisation)
    return copy(
        lanes = lanes.remove(id),
        serviceOrder = if (order.isEmpty()) serviceOrder.remove(id.rank) else serviceOrder.put(id.rank, order),
    )
}
