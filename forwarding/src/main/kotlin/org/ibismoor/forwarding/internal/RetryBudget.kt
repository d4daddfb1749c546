/**
 * The part of the fleet's retry budget that this router may use. The ratio applies to the router's own requests and the
 * slack is divided by the number of routers, so that routers need not exchange their counts.
 */
package org.ibismoor.forwarding.internal

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.mutate
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.UpstreamGroupId
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.RetryCount
import org.ibismoor.forwarding.api.RetryRow

private const val MILLIS_PER_SECOND = 1_000L

/** Fraction of the budget that is used; the rest covers windows in which the traffic changes. */
private const val USABLE_FRACTION = 0.75

/** Lower limit for the number of routers; it also applies before the leader has listed any. */
private const val MINIMUM_ASSUMED_ROUTERS = 12

internal fun PersistentMap<UpstreamGroupId, RetryRow>.withRequestCounted(
    group: UpstreamGroupId,
    now: Timestamp,
): PersistentMap<UpstreamGroupId, RetryRow> = withCountChanged(group, now) { it.copy(requests = it.requests + 1) }

internal fun PersistentMap<UpstreamGroupId, RetryRow>.withRetryCounted(
    group: UpstreamGroupId,
    now: Timestamp,
): PersistentMap<UpstreamGroupId, RetryRow> = withCountChanged(group, now) { it.copy(retries = it.retries + 1) }

private fun PersistentMap<UpstreamGroupId, RetryRow>.withCountChanged(
    group: UpstreamGroupId,
    now: Timestamp,
    change: (RetryCount) -> RetryCount,
): PersistentMap<UpstreamGroupId, RetryRow> {
    val second = now.millis / MILLIS_PER_SECOND
    val row = this[group] ?: RetryRow()
    val seconds = row.seconds.put(second, change(row.seconds[second] ?: RetryCount()))
    return put(group, RetryRow(seconds))
}

/** True if the budget of [group] covers one more retry. */
internal fun ForwardingTables.hasRetryBudget(group: UpstreamGroupId, settings: ForwardingSettings): Boolean {
    val counts = retries[group]?.seconds?.values.orEmpty()
    val routers = maxOf(fleet.routers.size, MINIMUM_ASSUMED_ROUTERS)
    val allowed = settings.retryRatio * counts.sumOf { it.requests } + settings.retrySlack.toDouble() / routers
    return counts.sumOf { it.retries } + 1 <= USABLE_FRACTION * allowed
}

/** Removes counts that are older than the retry window. */
internal fun ForwardingTables.withoutExpiredRetries(now: Timestamp, settings: ForwardingSettings): ForwardingTables {
    val oldest = (now.millis - settings.retryWindowMillis) / MILLIS_PER_SECOND
    val next = retries.mutate { table ->
        table.entries.toList().forEach { (group, row) ->
            val expired = row.seconds.keys.filter { it < oldest }
            if (expired.isNotEmpty()) table[group] = RetryRow(row.seconds.mutate { expired.forEach(it::remove) })
        }
    }
    return copy(retries = next)
}
