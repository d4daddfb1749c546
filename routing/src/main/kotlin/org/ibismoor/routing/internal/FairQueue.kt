/**
 * Strict priorities with deficit round robin between the organisations of each priority. An organisation whose deficit
 * does not cover its oldest request gets a quantum and moves to the end of the round. On average, dequeuing a request
 * takes its cost divided by the quantum in steps, independent of the number of organisations.
 */
package org.ibismoor.routing.internal

import kotlinx.collections.immutable.persistentSetOf
import org.ibismoor.configuration.api.Priority
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.routing.api.DequeuedEntry
import org.ibismoor.routing.api.LaneId
import org.ibismoor.routing.api.QueueEntry
import org.ibismoor.routing.api.QueueLane
import org.ibismoor.routing.api.QueuePolicy
import org.ibismoor.routing.api.QueueRow

// About the cost of a typical request, so that a turn serves few requests and few turns serve none.
private const val QUANTUM_TOKENS = 2_048L

internal object FairQueue : QueuePolicy {
    override fun enqueue(queue: QueueRow, entry: QueueEntry): QueueRow = queue.append(laneOf(entry), entry)

    override fun remove(queue: QueueRow, entry: QueueEntry): QueueRow = queue.without(laneOf(entry), entry)

    override fun dequeue(queue: QueueRow): DequeuedEntry? =
        Priority.entries.firstOrNull { queue.serviceOrder[it] != null }?.let { dequeueFrom(queue, it) }

    private fun dequeueFrom(queue: QueueRow, priority: Priority): DequeuedEntry {
        var remaining = queue
        while (true) {
            val organisation = remaining.serviceOrder.getValue(priority).first()
            val id = LaneId(priority, organisation)
            val lane = remaining.lanes.getValue(id)
            val entry = lane.entries.values.first()
            if (lane.deficit >= entry.cost) {
                val served = lane.copy(deficit = lane.deficit - entry.cost)
                return DequeuedEntry(entry, remaining.copy(lanes = remaining.lanes.put(id, served)).without(id, entry))
            }
            remaining = endTurn(remaining, id, lane.copy(deficit = lane.deficit + QUANTUM_TOKENS * entry.weight))
        }
    }

    private fun endTurn(queue: QueueRow, id: LaneId, lane: QueueLane): QueueRow {
        val order = queue.serviceOrder.getValue(id.priority)
        return queue.copy(
            lanes = queue.lanes.put(id, lane),
            serviceOrder = queue.serviceOrder.put(id.priority, order.remove(id.organisation).add(id.organisation)),
        )
    }

    private fun laneOf(entry: QueueEntry) = LaneId(entry.priority, entry.organisation)
}

/** Baseline without priorities or fairness: one lane for all requests. */
internal object FirstInFirstOut : QueuePolicy {
    private val lane = LaneId(Priority.LIVE, OrganisationId(""))

    override fun enqueue(queue: QueueRow, entry: QueueEntry): QueueRow = queue.append(lane, entry)

    override fun remove(queue: QueueRow, entry: QueueEntry): QueueRow = queue.without(lane, entry)

    override fun dequeue(queue: QueueRow): DequeuedEntry? =
        queue.lanes[lane]?.entries?.values?.first()?.let { DequeuedEntry(it, queue.without(lane, it)) }
}

private fun QueueRow.append(id: LaneId, entry: QueueEntry): QueueRow {
    val lane = lanes[id]
    val order = serviceOrder[id.priority] ?: persistentSetOf()
    return QueueRow(
        lanes = lanes.put(id, (lane ?: QueueLane()).let { it.copy(entries = it.entries.put(entry.stream, entry)) }),
        serviceOrder = if (lane == null) serviceOrder.put(id.priority, order.add(id.organisation)) else serviceOrder,
        size = size + 1,
    )
}

/** An empty lane is removed with its deficit, so an idle organisation does not accumulate credit. */
private fun QueueRow.without(id: LaneId, entry: QueueEntry): QueueRow {
    val lane = lanes[id]?.takeIf { entry.stream in it.entries } ?: return this
    val entries = lane.entries.remove(entry.stream)
    val remaining = copy(lanes = lanes.put(id, lane.copy(entries = entries)), size = size - 1)
    return if (entries.isEmpty()) remaining.withoutLane(id) else remaining
}

private fun QueueRow.withoutLane(id: LaneId): QueueRow {
    val order = serviceOrder.getValue(id.priority).remove(id.organisation)
    return copy(
        lanes = lanes.remove(id),
        serviceOrder = if (order.isEmpty()) serviceOrder.remove(id.priority) else serviceOrder.put(id.priority, order),
    )
}
