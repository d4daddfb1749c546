/**
 * Measures how long upstreams take for the requests of each route, from which the wait in a queue is estimated.
 */
package org.ibismoor.forwarding.internal

import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp
import org.ibismoor.forwarding.api.AttemptEnded
import org.ibismoor.forwarding.api.Delivered
import org.ibismoor.forwarding.api.ForwardingMessage
import org.ibismoor.forwarding.api.ForwardingTables

/** Runs before the system that removes ended requests. */
internal class WorkTimeSystem : ForwardingSystem {
    override fun run(tables: ForwardingTables, tick: Tick<ForwardingMessage>): ForwardingStep =
        ForwardingStep(
            tick.messages.filterIsInstance<AttemptEnded>()
                .filter { it.result is Delivered }
                .fold(tables) { table, message -> table.withWorkTime(message, tick.now) },
        )
}

private fun ForwardingTables.withWorkTime(message: AttemptEnded, now: Timestamp): ForwardingTables {
    val request = requests[message.number]
    val phase = request?.inFlightAttempt(message.attempt) ?: return this
    val row = admission.row(request.group).withWork(request.route.id, request.queueCost, now - phase.sentAt)
    return copy(admission = admission.withRow(request.group, row))
}
