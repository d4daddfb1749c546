/**
 * Strict priorities with deficit round robin between the organisations of each priority. An organisation whose deficit
 * does not cover its oldest request gets a quantum and goes to the end of the round. The work for one request is
 * its cost divided by the quantum on average, whatever the number of organisations.
 */
package org.ibismoor.routing.internal

import kotlinx.collections.immutable.persistentSetOf
import org.ibismoor.configuration.api.Priority
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.routing.api.LaneId
import org.ibismoor.routing.api.QueueEntry
import org.ibismoor.routing.api.QueueLane
import org.ibismoor.routing.api.QueuePolicy
import org.ibismoor.routing.api.QueueRow
import org.ibismoor.routing.api.QueueTurn

// About the cost of a usual request, so that a turn serves few requests and few turns serve none.
private const val QUANTUM = 2_048L

internal object FairQueue : QueuePolicy {
    override fun add(queue: QueueRow, entry: QueueEntry): QueueRow = queue.append(laneOf(entry), entry)

    override fun remove(queue: QueueRow, entry: QueueEntry): QueueRow = queue.without(laneOf(entry), entry)

    override fun next(queue: QueueRow): QueueTurn? =
        Priority.entries.firstOrNull { queue.turns[it] != null }?.let { serve(queue, it) }

    private fun serve(queue: QueueRow, priority: Priority): QueueTurn {
        var rest = queue
        while (true) {
            val organisation = rest.turns.getValue(priority).first()
            val id = LaneId(priority, organisation)
            val lane = rest.lanes.getValue(id)
            val entry = lane.entries.values.first()
            if (lane.deficit >= entry.cost) {
                val paid = rest.copy(lanes = rest.lanes.put(id, lane.copy(deficit = lane.deficit - entry.cost)))
                return QueueTurn(entry, paid.without(id, entry))
            }
            rest = passTurn(rest, id, lane.copy(deficit = lane.deficit + QUANTUM * entry.weight))
        }
    }

    private fun passTurn(queue: QueueRow, id: LaneId, lane: QueueLane): QueueRow {
        val turns = queue.turns.getValue(id.priority)
        return queue.copy(
            lanes = queue.lanes.put(id, lane),
            turns = queue.turns.put(id.priority, turns.remove(id.organisation).add(id.organisation)),
        )
    }

    private fun laneOf(entry: QueueEntry) = LaneId(entry.priority, entry.organisation)
}

/** Baseline without priorities or fairness: one lane in order of arrival. */
internal object FirstInFirstOut : QueuePolicy {
    private val lane = LaneId(Priority.LIVE, OrganisationId(""))

    override fun add(queue: QueueRow, entry: QueueEntry): QueueRow = queue.append(lane, entry)

    override fun remove(queue: QueueRow, entry: QueueEntry): QueueRow = queue.without(lane, entry)

    override fun next(queue: QueueRow): QueueTurn? =
        queue.lanes[lane]?.entries?.values?.first()?.let { QueueTurn(it, queue.without(lane, it)) }
}

private fun QueueRow.append(id: LaneId, entry: QueueEntry): QueueRow {
    val lane = lanes[id]
    val waiting = turns[id.priority] ?: persistentSetOf()
    return QueueRow(
        lanes = lanes.put(id, (lane ?: QueueLane()).let { it.copy(entries = it.entries.put(entry.stream, entry)) }),
        turns = if (lane == null) turns.put(id.priority, waiting.add(id.organisation)) else turns,
        size = size + 1,
    )
}

/** An empty lane is dropped with its deficit, so an idle organisation saves up nothing. */
private fun QueueRow.without(id: LaneId, entry: QueueEntry): QueueRow {
    val lane = lanes[id]?.takeIf { entry.stream in it.entries } ?: return this
    val entries = lane.entries.remove(entry.stream)
    val left = copy(lanes = lanes.put(id, lane.copy(entries = entries)), size = size - 1)
    return if (entries.isEmpty()) left.withoutLane(id) else left
}

private fun QueueRow.withoutLane(id: LaneId): QueueRow {
    val waiting = turns.getValue(id.priority).remove(id.organisation)
    return copy(
        lanes = lanes.remove(id),
        turns = if (waiting.isEmpty()) turns.remove(id.priority) else turns.put(id.priority, waiting),
    )
}
