/**
 * Requests the reservations of streams that left the queue: at the home domain for the claim of a homed key, otherwise
 * at the first domain in order of preference that is not suspected.
 */
package org.ibismoor.routing.internal

import kotlinx.collections.immutable.persistentListOf
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.routing.api.RoutingMessage
import org.ibismoor.routing.api.RoutingSettings
import org.ibismoor.routing.api.RoutingTables
import org.ibismoor.routing.api.StreamRow

internal class ReservationSystem(private val settings: RoutingSettings) : RoutingSystem {
    private val requests = ReservationRequests(settings)

    override fun run(tables: RoutingTables, tick: Tick<RoutingMessage>): RoutingStep =
        tables.copy(streamsToReserve = persistentListOf()).foldSteps(tables.streamsToReserve) { t, id ->
            t.streams[id]?.let { reserve(t, it, tick.now) } ?: t.step()
        }

    private fun reserve(tables: RoutingTables, row: StreamRow, now: Timestamp): RoutingStep {
        val authority = row.homeDomain() ?: tables.preferredAuthority(settings)
        return if (hasControlProcess(tables, authority)) {
            requests.reserve(tables, row, authority, now)
        } else {
            tables.failStream(settings, row, Failure(RefusalReason.HOME_UNAVAILABLE), now)
        }
    }

    private fun hasControlProcess(tables: RoutingTables, domain: FailureDomainId): Boolean =
        domain in settings.domains || tables.configuration.controlMembers.keys.any { it.domain == domain }
}
