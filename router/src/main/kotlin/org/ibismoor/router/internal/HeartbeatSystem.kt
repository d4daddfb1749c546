/**
 * Sends heartbeats and takes in their answers. A heartbeat goes each second to the control process of the own domain,
 * to those that hold reservations of this router, whose sessions it keeps alive, and, while the own one is silent, to
 * the next domains in order of preference.
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

private const val PERIOD_MILLIS = 1_000L

/** A domain that was not heard for this long is replaced by the next one. */
private const val SILENCE_MILLIS = 2_500L

internal data class RouterIdentity(val id: RouterId, val domain: FailureDomainId, val baseUrl: String)

internal class HeartbeatSystem(
    private val identity: RouterIdentity,
    private val domains: List<FailureDomainId>,
) : TickSystem<RouterTables, RouterMessage, RouterEffect> {
    override fun run(tables: RouterTables, tick: Tick<RouterMessage>): Step<RouterTables, RouterEffect> {
        val heard = tick.messages.fold(tables) { t, message -> take(t, message, tick.now) }
        return if (tick.now < heard.heartbeatAt) Step(heard) else beat(heard, tick.now)
    }

    /** What the answers among [messages] mean for the routing decisions; [view] is the view after them. */
    fun routingMessages(messages: List<RouterMessage>, before: RouterView, view: RouterView): List<RoutingMessage> {
        val answers = messages.filterIsInstance<HeartbeatAnswered>()
        val isChanged = view.configuration.number != before.configuration.number
        val isLeaving = view.isLeaving && !before.isLeaving
        return answers.map { ControlContactReceived(LedgerAuthority(it.domain)) } +
            listOfNotNull(ConfigurationChanged(view.configuration).takeIf { isChanged }) +
            answers.mapNotNull { it.answer.reports }.map(::ReportsReceived) +
            listOfNotNull(DrainRequested.takeIf { isLeaving })
    }

    private fun take(tables: RouterTables, message: RouterMessage, now: Timestamp): RouterTables =
        when (message) {
            is HeartbeatAnswered -> answered(tables, message, now)
            is HeartbeatFailed -> tables.put(message.domain, tables.row(message.domain).copy(isInFlight = false))
            else -> tables
        }

    private fun answered(tables: RouterTables, message: HeartbeatAnswered, now: Timestamp): RouterTables {
        val answer = message.answer
        val next = tables.view.withAnswer(answer)
        val isPrimary = message.domain == primary(tables, now) || tables.view.keyPrefix.isEmpty()
        val row = HeartbeatRow(false, now, answer.routerListVersion, answer.reportVersion)
        return tables.put(message.domain, row).copy(
            view = if (isPrimary) next else tables.view.copy(configuration = next.configuration),
        )
    }

    private fun beat(tables: RouterTables, now: Timestamp): Step<RouterTables, RouterEffect> {
        val targets = targets(tables, now).filter { !tables.row(it).isInFlight }
        val effects = targets.map { SendHeartbeat(it, heartbeat(tables, tables.row(it))) }
        val sent = targets.fold(tables) { t, domain -> t.put(domain, t.row(domain).copy(isInFlight = true)) }
        return Step(sent.copy(heartbeatAt = now + PERIOD_MILLIS), effects)
    }

    private fun targets(tables: RouterTables, now: Timestamp): Set<FailureDomainId> {
        val holders = tables.routing.authorities.filterValues { it.holders.isNotEmpty() }.keys
        return domains.take(domains.indexOf(primary(tables, now)) + 1).toSet() + holders
    }

    /** The most preferred domain that is heard; the last one if none is, so that all are tried. */
    private fun primary(tables: RouterTables, now: Timestamp): FailureDomainId =
        domains.firstOrNull { isHeard(tables.row(it), now) } ?: domains.last()

    private fun isHeard(row: HeartbeatRow, now: Timestamp): Boolean =
        row.heardAt?.let { now - it < SILENCE_MILLIS } ?: false

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

private fun RouterTables.put(domain: FailureDomainId, row: HeartbeatRow): RouterTables =
    copy(heartbeats = heartbeats.put(domain, row))
