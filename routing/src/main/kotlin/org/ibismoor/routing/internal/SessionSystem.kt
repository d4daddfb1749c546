/**
 * Watches the sessions of this router at the control processes. When a ledger was not heard for the session limit, it
 * may soon release the reservations of this router, so none of them is used any longer: idempotent work reserves
 * elsewhere, a claim without an attempt is refused, and a claim under way keeps running, since only its home ledger
 * can decide about its charge.
 */
package org.ibismoor.routing.internal

import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.routing.api.AuthorityRow
import org.ibismoor.routing.api.RoutingMessage
import org.ibismoor.routing.api.RoutingSettings
import org.ibismoor.routing.api.RoutingTables
import org.ibismoor.routing.api.StreamId
import org.ibismoor.routing.api.StreamPhase
import org.ibismoor.routing.api.StreamRow

internal class SessionSystem(private val settings: RoutingSettings) : RoutingSystem {
    private val leases = Leases(settings)

    fun nextDue(tables: RoutingTables): Timestamp? =
        tables.authorities.values.filter { it.holders.isNotEmpty() }.minOfOrNull { expiry(it) }

    override fun run(tables: RoutingTables, tick: Tick<RoutingMessage>): RoutingStep {
        val expired = tables.authorities.filter { (_, row) -> row.holders.isNotEmpty() && expiry(row) <= tick.now }
        return tables.forEach(expired.entries) { t, (domain, row) -> expire(t, domain, row.holders, tick.now) }
    }

    private fun expiry(row: AuthorityRow): Timestamp = row.heardAt + settings.limits.sessionMillis

    private fun expire(
        tables: RoutingTables,
        domain: FailureDomainId,
        holders: Set<StreamId>,
        now: Timestamp,
    ): RoutingStep =
        tables.suspected(domain).forEach(holders.sortedBy { it.value }) { t, id ->
            t.streams[id]?.let { expireLease(t, it, now) } ?: t.step()
        }

    private fun expireLease(tables: RoutingTables, row: StreamRow, now: Timestamp): RoutingStep {
        val lease = checkNotNull(row.lease)
        return when {
            row.work.isIdempotent -> {
                val domain = leases.other(tables, row, lease) ?: lease.authority
                leases.move(tables, row, domain, now)
            }
            row.phase == StreamPhase.WAITING ->
                tables.fail(settings, row, Failure(RefusalReason.SESSION_EXPIRED), now)
            else -> tables.put(row.copy(lease = lease.copy(isHeld = false)), settings.limits).step()
        }
    }
}
