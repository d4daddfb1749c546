/**
 * Sends heartbeats and applies their answers. Each second one goes to the control process of the own domain, to those
 * that hold reservations of this router, to keep the session alive there, and, while the own one is unreachable, to the
 * next domains in order of preference.
 */
package org.ibismoor.router.internal

import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.RouterId
import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickSystem
import org.ibismoor.core.api.Timestamp
import org.ibismoor.membership.api.Heartbeat
import org.ibismoor.membership.api.RouterRow
import org.ibismoor.membership.api.RouterState
import org.ibismoor.membership.api.RouterView
import org.ibismoor.membership.api.withAnswer
import org.ibismoor.routing.api.ConfigurationChanged
import org.ibismoor.routing.api.ControlContactReceived
import org.ibismoor.routing.api.DrainRequested
import org.ibismoor.routing.api.LedgerAuthority
import org.ibismoor.routing.api.ReportsReceived
import org.ibismoor.routing.api.RoutingMessage

private const val HEARTBEAT_INTERVAL_MILLIS = 1_000L

/** After this time without contact a domain is replaced by the next one. */
private const val CONTACT_TIMEOUT_MILLIS = 2_500L

internal data class RouterIdentity(val id: RouterId, val domain: FailureDomainId, val baseUrl: String)

internal class HeartbeatSystem(
    private val identity: RouterIdentity,
    private val domains: List<FailureDomainId>,
) : TickSystem<RouterTables, RouterMessage, RouterEffect> {
    override fun run(tables: RouterTables, tick: Tick<RouterMessage>): Step<RouterTables, RouterEffect> {
        val updated = tick.messages.fold(tables) { t, message -> applyMessage(t, message, tick.now) }
        return if (tick.now < updated.nextHeartbeatAt) Step(updated) else sendHeartbeats(updated, tick.now)
    }

    /** The routing messages that follow from the answers among [messages]; [view] is the view after these answers. */
    fun routingMessages(messages: List<RouterMessage>, before: RouterView, view: RouterView): List<RoutingMessage> {
        val answers = messages.filterIsInstance<HeartbeatAnswered>()
        val isChanged = view.configuration.number != before.configuration.number
        val isLeaving = view.isLeaving && !before.isLeaving
        return answers.map { ControlContactReceived(LedgerAuthority(it.domain)) } +
            listOfNotNull(ConfigurationChanged(view.configuration).takeIf { isChanged }) +
            answers.mapNotNull { it.answer.reports }.map(::ReportsReceived) +
            listOfNotNull(DrainRequested.takeIf { isLeaving })
    }

    private fun applyMessage(tables: RouterTables, message: RouterMessage, now: Timestamp): RouterTables =
        when (message) {
            is HeartbeatAnswered -> applyAnswer(tables, message, now)
            is HeartbeatFailed -> tables.withRow(message.domain, tables.row(message.domain).copy(isInFlight = false))
            else -> tables
        }

    private fun applyAnswer(tables: RouterTables, message: HeartbeatAnswered, now: Timestamp): RouterTables {
        val answer = message.answer
        val next = tables.view.withAnswer(answer)
        val isPrimary = message.domain == primaryDomain(tables, now) || tables.view.keyPrefix.isEmpty()
        val row = HeartbeatRow(false, now, answer.routerListVersion, answer.reportVersion)
        return tables.withRow(message.domain, row).copy(
            view = if (isPrimary) next else tables.view.copy(configuration = next.configuration),
        )
    }

    private fun sendHeartbeats(tables: RouterTables, now: Timestamp): Step<RouterTables, RouterEffect> {
        val targets = targetDomains(tables, now).filter { !tables.row(it).isInFlight }
        val effects = targets.map { SendHeartbeat(it, heartbeat(tables, tables.row(it))) }
        val updated = targets.fold(tables) { t, domain -> t.withRow(domain, t.row(domain).copy(isInFlight = true)) }
        return Step(updated.copy(nextHeartbeatAt = now + HEARTBEAT_INTERVAL_MILLIS), effects)
    }

    private fun targetDomains(tables: RouterTables, now: Timestamp): Set<FailureDomainId> {
        val reservationDomains = tables.routing.authorities.filterValues { it.holders.isNotEmpty() }.keys
        return domains.take(domains.indexOf(primaryDomain(tables, now)) + 1).toSet() + reservationDomains
    }

    /** The most preferred reachable domain; the last one if none is reachable, so that all are tried. */
    private fun primaryDomain(tables: RouterTables, now: Timestamp): FailureDomainId =
        domains.firstOrNull { isReachable(tables.row(it), now) } ?: domains.last()

    private fun isReachable(row: HeartbeatRow, now: Timestamp): Boolean =
        row.lastContactAt?.let { now - it < CONTACT_TIMEOUT_MILLIS } ?: false

    private fun heartbeat(tables: RouterTables, row: HeartbeatRow): Heartbeat {
        val state = if (tables.routing.drain == null) RouterState.SERVING else RouterState.DRAINING
        val inFlight = tables.routing.streams.size
        return Heartbeat(
            router = RouterRow(identity.id, tables.routing.session, identity.domain, identity.baseUrl, state, inFlight),
            configuration = tables.view.configuration.number,
            routerListVersion = row.routerListVersion,
            reportVersion = row.reportVersion,
        )
    }
}

private fun RouterTables.row(domain: FailureDomainId): HeartbeatRow = heartbeats[domain] ?: HeartbeatRow()

private fun RouterTables.withRow(domain: FailureDomainId, row: HeartbeatRow): RouterTables =
    copy(heartbeats = heartbeats.put(domain, row))
