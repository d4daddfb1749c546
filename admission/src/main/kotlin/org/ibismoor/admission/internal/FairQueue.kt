/**
 * Strict ranks with deficit round robin between the organisations of each rank. An organisation whose deficit does not
 * cover its first request gets a quantum and moves to the end of the round. On average, dequeuing a request takes its
 * cost divided by the quantum in steps, independent of the number of organisations.
 */
package org.ibismoor.admission.internal

import org.ibismoor.admission.api.DequeuedEntry
import org.ibismoor.admission.api.LaneId
import org.ibismoor.admission.api.QueueEntry
import org.ibismoor.admission.api.QueueLane
import org.ibismoor.admission.api.QueuePolicy
import org.ibismoor.admission.api.QueueRank
import org.ibismoor.admission.api.QueueRow
import org.ibismoor.core.api.OrganisationId

internal class FairQueue(private val quantumTokens: Long) : QueuePolicy {
    override fun <K> enqueue(queue: QueueRow<K>, entry: QueueEntry<K>): QueueRow<K> =
        queue.withEntry(laneOf(entry), entry)

    override fun <K> remove(queue: QueueRow<K>, entry: QueueEntry<K>): QueueRow<K> =
        queue.withoutEntry(laneOf(entry), entry)

    override fun <K> dequeue(queue: QueueRow<K>): DequeuedEntry<K>? =
        queue.serviceOrder.keys.minOrNull()?.let { dequeueFrom(queue, it) }

    override fun <K> restore(queue: QueueRow<K>, entry: QueueEntry<K>): QueueRow<K> =
        queue.withEntry(laneOf(entry), entry, entry.cost)

    /** Other organisations are assumed to get as many turns as the requests of the own one that are taken first. */
    override fun <K> countAhead(queue: QueueRow<K>, entry: QueueEntry<K>): Int {
        val rank = entry.rank
        val lane = queue.lanes[laneOf(entry)]
        val own = lane?.countBefore(entry.order) ?: 0
        val lower = queue.sizes.entries.sumOf { (other, size) -> if (other < rank) size else 0 }
        val others = (queue.sizes[rank] ?: 0) - (lane?.entries?.size ?: 0)
        val otherLanes = (queue.serviceOrder[rank]?.size ?: 0) - if (lane == null) 0 else 1
        return lower + own + minOf(others, otherLanes * (own + 1))
    }

    private fun <K> dequeueFrom(queue: QueueRow<K>, rank: QueueRank): DequeuedEntry<K> {
        var remaining = queue
        while (true) {
            val organisation = remaining.serviceOrder.getValue(rank).first()
            val id = LaneId(rank, organisation)
            val lane = remaining.lanes.getValue(id)
            val entry = lane.first()
            if (lane.deficit >= entry.cost) {
                val served = lane.copy(deficit = lane.deficit - entry.cost)
                val next = remaining.copy(lanes = remaining.lanes.put(id, served)).withoutEntry(id, entry)
                return DequeuedEntry(entry, next)
            }
            remaining = endTurn(remaining, id, lane.copy(deficit = lane.deficit + quantumTokens * entry.weight))
        }
    }

    private fun <K> endTurn(queue: QueueRow<K>, id: LaneId, lane: QueueLane<K>): QueueRow<K> {
        val order = queue.serviceOrder.getValue(id.rank)
        return queue.copy(
            lanes = queue.lanes.put(id, lane),
            serviceOrder = queue.serviceOrder.put(id.rank, order.remove(id.organisation).add(id.organisation)),
        )
    }

    private fun <K> laneOf(entry: QueueEntry<K>) = LaneId(entry.rank, entry.organisation)
}

/** Baseline without priorities or fairness: one lane for all requests. */
internal object FirstInFirstOut : QueuePolicy {
    private val lane = LaneId(QueueRank(isSurplus = false, priority = 0), OrganisationId(""))

    override fun <K> enqueue(queue: QueueRow<K>, entry: QueueEntry<K>): QueueRow<K> = queue.withEntry(lane, entry)

    override fun <K> remove(queue: QueueRow<K>, entry: QueueEntry<K>): QueueRow<K> = queue.withoutEntry(lane, entry)

    override fun <K> dequeue(queue: QueueRow<K>): DequeuedEntry<K>? =
        queue.lanes[lane]?.first()?.let { DequeuedEntry(it, queue.withoutEntry(lane, it)) }

    override fun <K> restore(queue: QueueRow<K>, entry: QueueEntry<K>): QueueRow<K> = enqueue(queue, entry)

    override fun <K> countAhead(queue: QueueRow<K>, entry: QueueEntry<K>): Int =
        queue.lanes[lane]?.countBefore(entry.order) ?: 0
}
