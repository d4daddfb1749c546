/**
 * Expires the sessions of this router at the control processes. A ledger that had no contact with the router for the
 * session time-out may soon free its reservations, so the router stops using them: idempotent work reserves elsewhere,
 * a claim without an attempt is refused, and a claim with a running attempt continues, since only its home ledger can
 * decide about its charge.
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
    private val requests = ReservationRequests(settings)

    fun nextDue(tables: RoutingTables): Timestamp? =
        tables.authorities.values.filter { it.holders.isNotEmpty() }.minOfOrNull { expiryTime(it) }

    override fun run(tables: RoutingTables, tick: Tick<RoutingMessage>): RoutingStep {
        val expired = tables.authorities.filter { (_, row) -> row.holders.isNotEmpty() && expiryTime(row) <= tick.now }
        return tables.foldSteps(expired.entries) { t, (domain, row) -> expireSession(t, domain, row.holders, tick.now) }
    }

    private fun expiryTime(row: AuthorityRow): Timestamp = row.lastContactAt + settings.limits.sessionTimeoutMillis

    private fun expireSession(
        tables: RoutingTables,
        domain: FailureDomainId,
        holders: Set<StreamId>,
        now: Timestamp,
    ): RoutingStep =
        tables.markSuspected(domain).foldSteps(holders.sortedBy { it.value }) { t, id ->
            t.streams[id]?.let { expireReservation(t, it, now) } ?: t.step()
        }

    private fun expireReservation(tables: RoutingTables, row: StreamRow, now: Timestamp): RoutingStep {
        val reservation = checkNotNull(row.reservation)
        return when {
            row.work.isIdempotent -> {
                val domain = requests.alternativeLedger(tables, row, reservation) ?: reservation.authority
                requests.moveReservation(tables, row, domain, now)
            }
            row.phase == StreamPhase.WAITING ->
                tables.failStream(settings, row, Failure(RefusalReason.SESSION_EXPIRED), now)
            else -> tables.putStream(row.copy(reservation = reservation.copy(isHeld = false)), settings.limits).step()
        }
    }
}
