/**
 * Indexes over the stream table: streams by attempt, reservation holders of an authority, active requests of a group
 * and attempts in flight at an upstream. They are derived from the difference between the old and the new row alone, so
 * the counts stay consistent on every path.
 */
package org.ibismoor.routing.internal

import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.UpstreamGroupId
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.routing.api.RoutingTables
import org.ibismoor.routing.api.StreamPhase
import org.ibismoor.routing.api.StreamRow

internal fun RoutingTables.updateIndexes(old: StreamRow?, new: StreamRow?): RoutingTables =
    withAttempts(old, new)
        .withHolder(old, new)
        .withActiveCount(old, new)
        .withInFlight(old, new)

private fun RoutingTables.withAttempts(old: StreamRow?, new: StreamRow?): RoutingTables {
    val before = old?.reservation?.attempt
    val after = new?.reservation?.attempt
    if (before == after) return this
    val without = if (before != null) streamsByAttempt.remove(before) else streamsByAttempt
    return copy(streamsByAttempt = if (after != null) without.put(after, checkNotNull(new).id) else without)
}

private fun holdingAuthority(row: StreamRow?): FailureDomainId? = row?.reservation?.takeIf { it.isHeld }?.authority

private fun RoutingTables.withHolder(old: StreamRow?, new: StreamRow?): RoutingTables {
    val before = holdingAuthority(old)
    val after = holdingAuthority(new)
    if (before == after) return this
    val id = checkNotNull(old ?: new).id
    val without = withAuthority(before) { it.copy(holders = it.holders.remove(id)) }
    return without.withAuthority(after) { it.copy(holders = it.holders.add(id)) }
}

private fun activeGroup(row: StreamRow?): UpstreamGroupId? =
    row?.takeIf { it.phase != StreamPhase.QUEUED && it.phase != StreamPhase.ANSWERED }?.work?.route?.group

private fun RoutingTables.withActiveCount(old: StreamRow?, new: StreamRow?): RoutingTables {
    val before = activeGroup(old)
    val after = activeGroup(new)
    if (before == after) return this
    val without = before
        ?.let { withGroup(it, group(it).let { row -> row.copy(active = row.active - 1) }).markForAdmission(it) }
        ?: this
    return after?.let { without.withGroup(it, without.group(it).let { row -> row.copy(active = row.active + 1) }) }
        ?: without
}

private fun upstreamInFlight(row: StreamRow?): UpstreamId? =
    row?.takeIf { it.phase == StreamPhase.RUNNING }?.upstream

private fun RoutingTables.withInFlight(old: StreamRow?, new: StreamRow?): RoutingTables {
    val before = upstreamInFlight(old)
    val after = upstreamInFlight(new)
    return if (before == after) this else withInFlightChange(before, -1).withInFlightChange(after, 1)
}

private fun RoutingTables.withInFlightChange(id: UpstreamId?, change: Int): RoutingTables {
    val row = id?.let { upstreams[it] } ?: return this
    val updated = row.copy(inFlight = row.inFlight + change)
    val isUnused = updated.isRemoved && updated.inFlight == 0
    return copy(upstreams = if (isUnused) upstreams.remove(id) else upstreams.put(id, updated))
}
