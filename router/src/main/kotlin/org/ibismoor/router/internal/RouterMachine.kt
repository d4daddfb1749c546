/**
 * State machine of a router process. Each tick applies the answers of control processes, then runs the routing
 * decisions, then batches their ledger requests.
 */
package org.ibismoor.router.internal

import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickMachine
import org.ibismoor.core.api.Timestamp
import org.ibismoor.routing.api.RoutingEffect
import org.ibismoor.routing.api.RoutingMessage
import org.ibismoor.routing.api.RoutingTables
import org.ibismoor.routing.api.SendLedgerRequest

internal class RouterMachine(
    private val heartbeats: HeartbeatSystem,
    private val outbox: OutboxSystem,
    private val routing: TickMachine<RoutingTables, RoutingMessage, RoutingEffect>,
) : TickMachine<RouterTables, RouterMessage, RouterEffect> {
    override fun nextDue(tables: RouterTables): Timestamp =
        routing.nextDue(tables.routing)?.let { minOf(it, tables.nextHeartbeatAt) } ?: tables.nextHeartbeatAt

    override fun run(tables: RouterTables, tick: Tick<RouterMessage>): Step<RouterTables, RouterEffect> {
        val heartbeatStep = heartbeats.run(tables, tick)
        val received = outbox.run(heartbeatStep.tables, tick).tables
        val messages = heartbeats.routingMessages(tick.messages, tables.view, received.view) +
            outbox.routingMessages(tables, tick.messages) +
            tick.messages.filterIsInstance<RoutingInput>().map { it.message }
        val routingStep = routing.run(received.routing, Tick(tick.now, tick.wallTime, messages))
        val (ledgerRequests, otherEffects) = routingStep.effects.partition { it is SendLedgerRequest }
        val routed = received.copy(routing = routingStep.tables)
        val outboxStep = outbox.sendRequests(routed, ledgerRequests.filterIsInstance<SendLedgerRequest>())
        return Step(outboxStep.tables, heartbeatStep.effects + otherEffects.map(::RoutingOutput) + outboxStep.effects)
    }
}
