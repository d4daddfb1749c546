/**
 * The whole machine of a router process: answers of control processes come in first, then the routing decisions run,
 * then their ledger requests are batched.
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
        routing.nextDue(tables.routing)?.let { minOf(it, tables.heartbeatAt) } ?: tables.heartbeatAt

    override fun run(tables: RouterTables, tick: Tick<RouterMessage>): Step<RouterTables, RouterEffect> {
        val beat = heartbeats.run(tables, tick)
        val ended = outbox.run(beat.tables, tick).tables
        val messages = heartbeats.routingMessages(tick.messages, tables.view, ended.view) +
            outbox.routingMessages(tables, tick.messages) +
            tick.messages.filterIsInstance<RoutingInput>().map { it.message }
        val step = routing.run(ended.routing, Tick(tick.now, tick.wallTime, messages))
        val (asked, others) = step.effects.partition { it is SendLedgerRequest }
        val sent = outbox.send(ended.copy(routing = step.tables), asked.filterIsInstance<SendLedgerRequest>())
        return Step(sent.tables, beat.effects + others.map(::RoutingOutput) + sent.effects)
    }
}
