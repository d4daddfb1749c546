/**
 * Asks the other routers for callers whether they have contact with the leader, while this router has none. A router
 * that is separated from the leader refuses the requests for which it holds no tokens, and the leader that takes it off
 * the list cannot reach this router either.
 */
package org.ibismoor.forwarding.internal

import kotlinx.collections.immutable.persistentHashSetOf
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.foldSteps
import org.ibismoor.forwarding.api.AskContact
import org.ibismoor.forwarding.api.ContactAnswered
import org.ibismoor.forwarding.api.DecisionKind
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.ForwardingSettings
import org.ibismoor.forwarding.api.ForwardingTables
import org.ibismoor.forwarding.api.ReportAnswered
import org.ibismoor.forwarding.api.ReportLost
import org.ibismoor.forwarding.api.isBesideControl
import org.ibismoor.forwarding.api.isPlacedByRoom

/**
 * Limit of routers that are asked, since each of them is asked by every separated router. With placement by room only
 * those on the VMs of control processes are asked, which may differ from the others in their contact.
 */
private const val MAXIMUM_ASKED_ROUTERS = 8

internal class ContactSystem(private val settings: ForwardingSettings) : ForwardingSystem {
    override fun run(tables: ForwardingTables, tick: Tick<ForwardingMessage>): ForwardingStep =
        foldSteps(tables, tick.messages) { table, message ->
            when (message) {
                is ReportLost -> askContact(table, isControlLost = table.isControlLost(tick.now, settings))
                is ContactAnswered -> recordContact(table, message)
                is ReportAnswered -> ForwardingStep(if (message.answer.isLeading) table.withoutSeparated() else table)
                else -> ForwardingStep(table)
            }
        }

    private fun askContact(tables: ForwardingTables, isControlLost: Boolean): ForwardingStep {
        val others = tables.fleet.routers.filter { it.address != settings.entry.address }
        val asked = if (tables.isPlacedByRoom(settings)) others.filter { it.isBesideControl(tables.fleet) } else others
        val isAsked = isControlLost && asked.isNotEmpty() && asked.size <= MAXIMUM_ASKED_ROUTERS
        return ForwardingStep(tables, listOf(AskContact(asked.map { it.address })).filter { isAsked })
    }

    private fun recordContact(tables: ForwardingTables, message: ContactAnswered): ForwardingStep {
        val before = tables.fleet.separatedRouters
        val after = if (message.hasLeader) before.remove(message.from) else before.add(message.from)
        if (after == before) return ForwardingStep(tables)
        val decision = logDecision(
            DecisionKind.ROUTER_CONTACT,
            null,
            "router" to message.from,
            "has_leader" to message.hasLeader,
        )
        return ForwardingStep(tables.copy(fleet = tables.fleet.copy(separatedRouters = after)), listOf(decision))
    }
}

/** The leader's own list says which routers have contact. */
private fun ForwardingTables.withoutSeparated(): ForwardingTables =
    if (fleet.separatedRouters.isEmpty()) this else copy(fleet = fleet.copy(separatedRouters = persistentHashSetOf()))
