/**
 * Updates of the stream table that keep its due times and indexes consistent.
 */
package org.ibismoor.routing.internal

import org.ibismoor.admission.api.QueueEntry
import org.ibismoor.admission.api.QueuePolicy
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamGroupId
import org.ibismoor.routing.api.GroupRow
import org.ibismoor.routing.api.RoutingLimits
import org.ibismoor.routing.api.RoutingTables
import org.ibismoor.routing.api.StreamId
import org.ibismoor.routing.api.StreamPhase
import org.ibismoor.routing.api.StreamRow
import org.ibismoor.routing.api.StreamTimer

internal fun RoutingTables.putStream(changed: StreamRow, limits: RoutingLimits): RoutingTables {
    val row = changed.copy(due = changed.nextDue(limits))
    val old = streams[row.id]
    val timers = if (old?.due == row.due) due else due.plus(row.due, StreamTimer(row.id))
    return copy(streams = streams.put(row.id, row), due = timers).updateIndexes(old, row)
}

private fun StreamRow.nextDue(limits: RoutingLimits): Timestamp {
    val resend = reservation?.takeIf { it.pending != null }?.resendAt ?: work.deadline
    return when (phase) {
        StreamPhase.QUEUED -> minOf(work.deadline, work.arrivedAt + limits.queueTimeoutMillis)
        StreamPhase.RESERVING, StreamPhase.RUNNING -> minOf(work.deadline, resend)
        StreamPhase.WAITING -> minOf(work.deadline, resend, retryAt ?: work.deadline)
        StreamPhase.ANSWERED -> minOf(checkNotNull(settleDeadline(limits)), settleResendTime())
    }
}

/**
 * When a complete answer fails without a charge; null for one that is not complete. Not before the deadline of the
 * request, since the control processes may be silent for longer than the time-out.
 */
internal fun StreamRow.settleDeadline(limits: RoutingLimits): Timestamp? =
    completion?.let { maxOf(work.deadline, it.completedAt + limits.settleTimeoutMillis) }

private fun StreamRow.settleResendTime(): Timestamp =
    reservation?.takeIf { it.pending != null }?.resendAt ?: Timestamp(Long.MAX_VALUE)

/** Removes a stream that has ended, also from the queue if it still waits there. */
internal fun RoutingTables.removeStream(row: StreamRow, policy: QueuePolicy): RoutingTables {
    val remaining = if (row.phase == StreamPhase.QUEUED) withoutQueued(row, policy) else this
    return remaining.copy(streams = remaining.streams.remove(row.id)).updateIndexes(remaining.streams[row.id], null)
}

/** Streams of one organisation and priority leave the queue in the order of arrival, which is that of their numbers. */
internal fun queueEntry(row: StreamRow): QueueEntry<StreamId> {
    val work = row.work
    return QueueEntry(row.id, row.key.organisation, work.priority.ordinal, work.weight, work.costBound, row.id.value)
}

internal fun RoutingTables.group(id: UpstreamGroupId): GroupRow = groups[id] ?: GroupRow()

internal fun RoutingTables.withGroup(id: UpstreamGroupId, row: GroupRow): RoutingTables =
    copy(groups = groups.put(id, row))

/** Changes the upstream group of [row]. */
internal inline fun RoutingTables.updateGroup(row: StreamRow, change: (GroupRow) -> GroupRow): RoutingTables =
    withGroup(row.work.route.group, change(group(row.work.route.group)))

private fun RoutingTables.withoutQueued(row: StreamRow, policy: QueuePolicy): RoutingTables {
    val id = row.work.route.group
    val group = group(id)
    return withGroup(id, group.copy(queue = policy.remove(group.queue, queueEntry(row))))
        .copy(queuedCount = queuedCount - 1)
}
