/**
 * Writes to the stream table, which keep its due times and indexes up to date.
 */
package org.ibismoor.routing.internal

import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamGroupId
import org.ibismoor.routing.api.GroupRow
import org.ibismoor.routing.api.QueueEntry
import org.ibismoor.routing.api.QueuePolicy
import org.ibismoor.routing.api.RoutingLimits
import org.ibismoor.routing.api.RoutingTables
import org.ibismoor.routing.api.StreamPhase
import org.ibismoor.routing.api.StreamRow
import org.ibismoor.routing.api.StreamTimer

internal fun RoutingTables.put(changed: StreamRow, limits: RoutingLimits): RoutingTables {
    val row = changed.copy(due = changed.nextDue(limits))
    val old = streams[row.id]
    val timed = if (old?.due == row.due) due else due.plus(row.due, StreamTimer(row.id))
    return copy(streams = streams.put(row.id, row), due = timed).reindexed(old, row)
}

private fun StreamRow.nextDue(limits: RoutingLimits): Timestamp {
    val resend = lease?.takeIf { it.pending != null }?.resendAt ?: work.deadline
    return when (phase) {
        StreamPhase.QUEUED -> minOf(work.deadline, work.arrivedAt + limits.queueMillis)
        StreamPhase.RESERVING, StreamPhase.RUNNING -> minOf(work.deadline, resend)
        StreamPhase.WAITING -> minOf(work.deadline, resend, retryAt ?: work.deadline)
        StreamPhase.ANSWERED -> minOf(checkNotNull(completion).at + limits.settleMillis, settleResend())
    }
}

private fun StreamRow.settleResend(): Timestamp =
    lease?.takeIf { it.pending != null }?.resendAt ?: Timestamp(Long.MAX_VALUE)

/** The stream has ended. It leaves the queue too if it still waits there. */
internal fun RoutingTables.remove(row: StreamRow, policy: QueuePolicy): RoutingTables {
    val left = if (row.phase == StreamPhase.QUEUED) withoutQueued(row, policy) else this
    return left.copy(streams = left.streams.remove(row.id)).reindexed(left.streams[row.id], null)
}

internal fun queueEntry(row: StreamRow): QueueEntry =
    QueueEntry(row.id, row.key.organisation, row.work.priority, row.work.weight, row.work.costBound)

internal fun RoutingTables.group(id: UpstreamGroupId): GroupRow = groups[id] ?: GroupRow()

internal fun RoutingTables.with(id: UpstreamGroupId, row: GroupRow): RoutingTables = copy(groups = groups.put(id, row))

/** Changes the group that [row] is for. */
internal inline fun RoutingTables.changed(row: StreamRow, change: (GroupRow) -> GroupRow): RoutingTables =
    with(row.work.route.group, change(group(row.work.route.group)))

private fun RoutingTables.withoutQueued(row: StreamRow, policy: QueuePolicy): RoutingTables {
    val id = row.work.route.group
    val group = group(id)
    return with(id, group.copy(queue = policy.remove(group.queue, queueEntry(row)))).copy(queued = queued - 1)
}
