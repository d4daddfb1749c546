/**
 * Indexes over the stream table: attempts, holders of an authority, active requests of a group and attempts in flight
 * at an upstream. They follow from the difference of the old and the new row alone, so that counts are conserved on
 * every path.
 */
package org.ibismoor.routing.internal

import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.UpstreamGroupId
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.routing.api.RoutingTables
import org.ibismoor.routing.api.StreamPhase
import org.ibismoor.routing.api.StreamRow

internal fun RoutingTables.reindexed(old: StreamRow?, new: StreamRow?): RoutingTables =
    withAttempts(old, new)
        .withHolder(old, new)
        .withActive(old, new)
        .withInFlight(old, new)

private fun RoutingTables.withAttempts(old: StreamRow?, new: StreamRow?): RoutingTables {
    val before = old?.lease?.attempt
    val after = new?.lease?.attempt
    if (before == after) return this
    val without = if (before != null) attempts.remove(before) else attempts
    return copy(attempts = if (after != null) without.put(after, checkNotNull(new).id) else without)
}

private fun holding(row: StreamRow?): FailureDomainId? = row?.lease?.takeIf { it.isHeld }?.authority

private fun RoutingTables.withHolder(old: StreamRow?, new: StreamRow?): RoutingTables {
    val before = holding(old)
    val after = holding(new)
    if (before == after) return this
    val id = checkNotNull(old ?: new).id
    val without = withAuthority(before) { it.copy(holders = it.holders.remove(id)) }
    return without.withAuthority(after) { it.copy(holders = it.holders.add(id)) }
}

private fun activeIn(row: StreamRow?): UpstreamGroupId? =
    row?.takeIf { it.phase != StreamPhase.QUEUED && it.phase != StreamPhase.ANSWERED }?.work?.route?.group

private fun RoutingTables.withActive(old: StreamRow?, new: StreamRow?): RoutingTables {
    val before = activeIn(old)
    val after = activeIn(new)
    if (before == after) return this
    val without = before?.let { with(it, group(it).let { row -> row.copy(active = row.active - 1) }).dirty(it) } ?: this
    return after?.let { without.with(it, without.group(it).let { row -> row.copy(active = row.active + 1) }) }
        ?: without
}

private fun runningAt(row: StreamRow?): UpstreamId? =
    row?.takeIf { it.phase == StreamPhase.RUNNING }?.upstream

private fun RoutingTables.withInFlight(old: StreamRow?, new: StreamRow?): RoutingTables {
    val before = runningAt(old)
    val after = runningAt(new)
    return if (before == after) this else withCount(before, -1).withCount(after, 1)
}

private fun RoutingTables.withCount(id: UpstreamId?, change: Int): RoutingTables {
    val row = id?.let { upstreams[it] } ?: return this
    val counted = row.copy(inFlight = row.inFlight + change)
    val isGone = counted.isRemoved && counted.inFlight == 0
    return copy(upstreams = if (isGone) upstreams.remove(id) else upstreams.put(id, counted))
}
