/**
 * Writes to the upstream table that may change which upstreams of a group are usable.
 */
package org.ibismoor.routing.internal

import kotlinx.collections.immutable.toPersistentList
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamGroupId
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.routing.api.CountEvent
import org.ibismoor.routing.api.RoutingEvent
import org.ibismoor.routing.api.RoutingTables
import org.ibismoor.routing.api.UpstreamRow
import org.ibismoor.routing.api.UpstreamTimer

private const val FAILURES_BEFORE_EJECTION = 5
private const val FIRST_EJECTION_MILLIS = 5_000L
private const val LONGEST_EJECTION_MILLIS = 60_000L
private const val LARGEST_SHIFT = 4

// Short, since a failed connect says little about the upstream's work and a retry costs its request one connect.
private const val FIRST_UNREACHABLE_MILLIS = 1_000L
private const val LARGEST_UNREACHABLE_SHIFT = 6

internal fun RoutingTables.withUpstream(row: UpstreamRow): RoutingTables {
    val id = row.upstream.id
    val wasUsable = upstreams[id]?.isUsable
    val next = copy(upstreams = upstreams.put(id, row))
    return if (wasUsable == row.isUsable) next else next.withUsable(row.upstream.group)
}

/** Works out anew which members of the group may get work. */
internal fun RoutingTables.withUsable(id: UpstreamGroupId): RoutingTables {
    val group = group(id)
    val usable = group.members.filter { upstreams[it]?.isUsable == true }
    return with(id, group.copy(usable = usable.toPersistentList())).dirty(id)
}

internal fun RoutingTables.succeeded(id: UpstreamId): RoutingTables {
    val row = upstreams[id]?.takeIf { it.failures > 0 || it.failedConnects > 0 } ?: return this
    return copy(upstreams = upstreams.put(id, row.copy(failures = 0, failedConnects = 0)))
}

/**
 * Ejects an upstream at its first failed connect, whatever part of its group is ejected: an upstream that cannot be
 * reached does no work, so to skip it takes no capacity away. Connects that failed together count once.
 */
internal fun RoutingTables.notReached(id: UpstreamId, now: Timestamp): RoutingStep {
    val row = upstreams[id]?.takeIf { it.ejectedUntil == null } ?: return step()
    val time = FIRST_UNREACHABLE_MILLIS shl row.failedConnects.coerceAtMost(LARGEST_UNREACHABLE_SHIFT)
    return eject(row.copy(failedConnects = row.failedConnects + 1), time, now)
}

/** Counts a failure and ejects the upstream after too many in a row, unless half of its group is ejected. */
internal fun RoutingTables.failed(id: UpstreamId, now: Timestamp): RoutingStep {
    val row = upstreams[id] ?: return step()
    val counted = row.copy(failures = row.failures + 1)
    val isOutlier = counted.failures >= FAILURES_BEFORE_EJECTION && row.ejectedUntil == null
    return if (isOutlier && mayEject(row)) ejectOutlier(counted, now) else withUpstream(counted).step()
}

private fun RoutingTables.mayEject(row: UpstreamRow): Boolean {
    val members = group(row.upstream.group).members
    val ejected = members.count { upstreams[it]?.ejectedUntil != null }
    return (ejected + 1) * 2 <= members.size
}

private fun RoutingTables.ejectOutlier(row: UpstreamRow, now: Timestamp): RoutingStep {
    val time = FIRST_EJECTION_MILLIS shl row.ejections.coerceAtMost(LARGEST_SHIFT)
    return eject(row.copy(failures = 0, ejections = row.ejections + 1), time, now)
}

private fun RoutingTables.eject(row: UpstreamRow, millis: Long, now: Timestamp): RoutingStep {
    val until = now + millis.coerceAtMost(LONGEST_EJECTION_MILLIS)
    val id = row.upstream.id
    return withUpstream(row.copy(ejectedUntil = until))
        .let { it.copy(due = it.due.plus(until, UpstreamTimer(id))) }
        .step(CountEvent(RoutingEvent.EJECTION, id.text))
}

/** Ends an ejection that is due. */
internal fun RoutingTables.readmitted(id: UpstreamId, now: Timestamp): RoutingTables {
    val row = upstreams[id]?.takeIf { it.ejectedUntil != null && checkNotNull(it.ejectedUntil) <= now } ?: return this
    return withUpstream(row.copy(ejectedUntil = null, returnedAt = now))
}
