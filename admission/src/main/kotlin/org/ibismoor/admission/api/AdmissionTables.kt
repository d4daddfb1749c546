/**
 * All queues of a router and what decides on the order in them.
 */
package org.ibismoor.admission.api

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import org.ibismoor.core.api.UpstreamGroupId

data class AdmissionTables<K>(
    val groups: PersistentMap<UpstreamGroupId, AdmissionRow<K>> = persistentHashMapOf(),
    /** Every queued request. */
    val queued: PersistentMap<K, QueuedRequest<K>> = persistentHashMapOf(),
    val rates: RateTable = RateTable(),
    val returns: ReturnTable = ReturnTable(),
) {
    fun row(group: UpstreamGroupId): AdmissionRow<K> = groups[group] ?: AdmissionRow()

    fun withRow(group: UpstreamGroupId, row: AdmissionRow<K>): AdmissionTables<K> =
        copy(groups = groups.put(group, row))

    fun withQueued(group: UpstreamGroupId, entry: QueueEntry<K>, policy: QueuePolicy): AdmissionTables<K> =
        withQueue(group, policy.enqueue(row(group).queue, entry))
            .copy(queued = queued.put(entry.id, QueuedRequest(group, entry)))

    /** Removes the request [id] from its queue, if it is in one. */
    fun withoutQueued(id: K, policy: QueuePolicy): AdmissionTables<K> {
        val request = queued[id] ?: return this
        return withQueue(request.group, policy.remove(row(request.group).queue, request.entry))
            .copy(queued = queued.remove(id))
    }

    /** The tables after [dequeued] was taken from the queue of [group]. */
    fun withDequeued(group: UpstreamGroupId, dequeued: DequeuedEntry<K>): AdmissionTables<K> =
        withQueue(group, dequeued.remaining).copy(queued = queued.remove(dequeued.entry.id))

    /** Puts [entry] back that was dequeued and could not be sent. */
    fun withRestored(group: UpstreamGroupId, entry: QueueEntry<K>, policy: QueuePolicy): AdmissionTables<K> =
        withQueue(group, policy.restore(row(group).queue, entry))
            .copy(queued = queued.put(entry.id, QueuedRequest(group, entry)))

    private fun withQueue(group: UpstreamGroupId, queue: QueueRow<K>): AdmissionTables<K> =
        withRow(group, row(group).copy(queue = queue))
}

data class QueuedRequest<K>(val group: UpstreamGroupId, val entry: QueueEntry<K>)
