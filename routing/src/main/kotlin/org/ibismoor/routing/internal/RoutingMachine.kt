/**
 * The systems of a router in the order in which they run. The session check comes first, so that after a pause of the
 * process an expired session is detected before queued messages are processed.
 */
package org.ibismoor.routing.internal

import org.ibismoor.core.api.Step
import org.ibismoor.core.api.SystemSchedule
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickMachine
import org.ibismoor.core.api.TickSystem
import org.ibismoor.core.api.Timestamp
import org.ibismoor.routing.api.RoutingEffect
import org.ibismoor.routing.api.RoutingMessage
import org.ibismoor.routing.api.RoutingSettings
import org.ibismoor.routing.api.RoutingTables

internal typealias RoutingStep = Step<RoutingTables, RoutingEffect>

internal typealias RoutingSystem = TickSystem<RoutingTables, RoutingMessage, RoutingEffect>

internal class RoutingMachine(settings: RoutingSettings) :
    TickMachine<RoutingTables, RoutingMessage, RoutingEffect> {
    private val sessions = SessionSystem(settings)
    private val drain = DrainSystem(settings)
    private val schedule = SystemSchedule(
        listOf(
            sessions,
            MembershipSystem(settings),
            LedgerAnswerSystem(settings),
            UpstreamAnswerSystem(settings),
            DeadlineSystem(settings),
            ArrivalSystem(settings),
            QueueSystem(settings),
            ReservationSystem(settings),
            SelectionSystem(settings),
            drain,
        ),
    )

    override fun run(tables: RoutingTables, tick: Tick<RoutingMessage>): RoutingStep = schedule.run(tables, tick)

    override fun nextDue(tables: RoutingTables): Timestamp? =
        listOfNotNull(tables.due.next, sessions.nextDue(tables), drain.nextDue(tables)).minOrNull()
}
