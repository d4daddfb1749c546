/**
 * Bounded retention of charge keys and claims in the fleet tables. A key is dropped when every live replica has
 * merged its charges past the end of the key's retention. Times are wall-clock milliseconds: a key is stamped with
 * the latest time seen and dropped by the earliest, so a single wrong clock only lengthens the retention.
 */
package org.ibismoor.ledger.internal

import kotlinx.collections.immutable.mutate
import org.ibismoor.core.api.WallTime
import org.ibismoor.ledger.api.FleetTables
import org.ibismoor.ledger.api.RetainedKey
import org.ibismoor.ledger.api.RetentionOrder

/** A retry after this time is a new request. */
internal const val CHARGE_RETENTION_MILLIS = 900_000L

/** A key is valid for 24 h; one hour more covers clock drift of 1% and the tolerance for keys minted ahead of time. */
internal const val CLAIM_RETENTION_MILLIS = 90_000_000L

internal const val MAXIMUM_CHARGES = 1_000_000L
internal const val MAXIMUM_CLAIMS = 1_000_000L

/** Bounds the work of one command; one command adds fewer keys than it may drop. */
private const val MAXIMUM_DROPPED = 2_000

internal fun dropOldKeys(tables: FleetTables): FleetTables = dropClaims(dropCharges(tables))

private fun dropCharges(tables: FleetTables): FleetTables {
    val expired = expiredThrough(tables, tables.chargeOrder, CHARGE_RETENTION_MILLIS)
    val bound = tables.chargeOrder.next - 1 - MAXIMUM_CHARGES
    val last = maxOf(expired, bound)
    if (last < tables.chargeOrder.first) return tables
    val dropped = tables.chargeOrder.through(last)
    return tables.copy(
        charges = tables.charges.mutate { rows -> dropped.forEach { rows.remove(it.key) } },
        chargeOrder = tables.chargeOrder.after(last),
        evictedCharges = tables.evictedCharges + (last - maxOf(expired, tables.chargeOrder.first - 1)),
    )
}

private fun dropClaims(tables: FleetTables): FleetTables {
    val last = expiredThrough(tables, tables.claimOrder, CLAIM_RETENTION_MILLIS)
    if (last < tables.claimOrder.first) return tables
    val dropped = tables.claimOrder.through(last)
    return tables.copy(
        claims = tables.claims.mutate { rows -> dropped.forEach { rows.remove(it.key) } },
        claimOrder = tables.claimOrder.after(last),
    )
}

/** Number of the last entry whose retention ended, or the one before the first. */
private fun expiredThrough(tables: FleetTables, order: RetentionOrder<RetainedKey>, retention: Long): Long {
    val earliest = earliestTime(tables)
    return generateSequence(order.first) { it + 1 }
        .take(MAXIMUM_DROPPED)
        .takeWhile { it < order.next }
        .takeWhile { n -> order.entries[n]?.let { it.stamp.epochMillis + retention <= earliest.epochMillis } ?: true }
        .lastOrNull() ?: (order.first - 1)
}

private fun earliestTime(tables: FleetTables): WallTime {
    val declared = tables.configuration.controlMembers.keys
    val live = declared.ifEmpty { tables.mergedThrough.keys }.filterNot(tables::isRetired)
    return live.minOfOrNull { tables.mergedThrough[it] ?: WallTime(0) } ?: WallTime(0)
}
