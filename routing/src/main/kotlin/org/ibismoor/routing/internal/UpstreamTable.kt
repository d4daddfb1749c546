/**
 * Updates of the upstream table, including those that change which upstreams of a group are usable.
 */
package org.ibismoor.routing.internal

import kotlinx.collections.immutable.toPersistentList
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamGroupId
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.pacing.api.PaceEvent
import org.ibismoor.routing.api.CountEvent
import org.ibismoor.routing.api.RoutingEvent
import org.ibismoor.routing.api.RoutingTables
import org.ibismoor.routing.api.UpstreamRow
import org.ibismoor.routing.api.UpstreamTimer

private const val FAILURES_BEFORE_EJECTION = 5
private const val FIRST_EJECTION_MILLIS = 5_000L
private const val MAX_EJECTION_MILLIS = 60_000L
private const val MAX_EJECTION_SHIFT = 4

// Short, since a connection failure does not show that the upstream is faulty, and a retry costs only one connect.
private const val FIRST_UNREACHABLE_EJECTION_MILLIS = 1_000L
private const val MAX_UNREACHABLE_SHIFT = 6

internal fun RoutingTables.withUpstream(row: UpstreamRow): RoutingTables {
    val id = row.upstream.id
    val wasUsable = upstreams[id]?.isUsable
    val next = copy(upstreams = upstreams.put(id, row))
    return if (wasUsable == row.isUsable) next else next.updateUsable(row.upstream.group)
}

internal fun RoutingTables.updateUsable(id: UpstreamGroupId): RoutingTables {
    val group = group(id)
    val usable = group.members.filter { upstreams[it]?.isUsable == true }
    return withGroup(id, group.copy(usable = usable.toPersistentList())).markForAdmission(id)
}

/** The length of an answer depends on its request, so that answers raise the limit and their delay never lowers it. */
internal fun RoutingTables.recordSuccess(id: UpstreamId, now: Timestamp): RoutingTables {
    val row = upstreams[id]?.takeIf { it.failures > 0 || it.failedConnects > 0 || it.pace.ramp != null } ?: return this
    val answered = PaceEvent.Answered(delayMillis = 0, active = (row.inFlight - 1).coerceAtLeast(0))
    return copy(upstreams = upstreams.put(id, row.copy(failures = 0, failedConnects = 0).withPace(answered, now)))
}

/**
 * Ejects an upstream at its first connection failure, even if half of its group is ejected: an upstream that cannot be
 * reached does no work, so skipping it costs no capacity. Simultaneous failures count once.
 */
internal fun RoutingTables.recordConnectFailure(id: UpstreamId, now: Timestamp): RoutingStep {
    val row = upstreams[id]?.takeIf { it.ejectedUntil == null } ?: return step()
    val time = FIRST_UNREACHABLE_EJECTION_MILLIS shl row.failedConnects.coerceAtMost(MAX_UNREACHABLE_SHIFT)
    return eject(row.copy(failedConnects = row.failedConnects + 1), time, now)
}

/** Ejects the upstream after too many consecutive failures, unless more than half of its group would be ejected. */
internal fun RoutingTables.recordFailure(id: UpstreamId, now: Timestamp): RoutingStep {
    val row = upstreams[id] ?: return step()
    val failed = row.copy(failures = row.failures + 1)
    val isOutlier = failed.failures >= FAILURES_BEFORE_EJECTION && row.ejectedUntil == null
    return if (isOutlier && canEject(row)) ejectOutlier(failed, now) else withUpstream(failed).step()
}

private fun RoutingTables.canEject(row: UpstreamRow): Boolean {
    val members = group(row.upstream.group).members
    val ejected = members.count { upstreams[it]?.ejectedUntil != null }
    return (ejected + 1) * 2 <= members.size
}

private fun RoutingTables.ejectOutlier(row: UpstreamRow, now: Timestamp): RoutingStep {
    val time = FIRST_EJECTION_MILLIS shl row.ejections.coerceAtMost(MAX_EJECTION_SHIFT)
    return eject(row.copy(failures = 0, ejections = row.ejections + 1), time, now)
}

private fun RoutingTables.eject(row: UpstreamRow, millis: Long, now: Timestamp): RoutingStep {
    val until = now + millis.coerceAtMost(MAX_EJECTION_MILLIS)
    val id = row.upstream.id
    return withUpstream(row.copy(ejectedUntil = until))
        .let { it.copy(due = it.due.plus(until, UpstreamTimer(id))) }
        .step(CountEvent(RoutingEvent.EJECTION, id.text))
}

/** Ends the ejection of an upstream if it is due. */
internal fun RoutingTables.readmitUpstream(id: UpstreamId, now: Timestamp): RoutingTables {
    val row = upstreams[id]?.takeIf { it.ejectedUntil != null && checkNotNull(it.ejectedUntil) <= now } ?: return this
    return withUpstream(row.copy(ejectedUntil = null).withPace(PaceEvent.Returned(coldMillis = 0), now))
}
