/**
 * The schedule of the membership systems of a control process. Heartbeats are answered after the systems that
 * update routers, upstreams and configuration, so that an answer includes the changes of the same tick.
 */
package org.ibismoor.membership.internal

import org.ibismoor.core.api.Step
import org.ibismoor.core.api.SystemSchedule
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickMachine
import org.ibismoor.core.api.TickSystem
import org.ibismoor.core.api.Timestamp
import org.ibismoor.membership.api.MembershipEffect
import org.ibismoor.membership.api.MembershipMessage
import org.ibismoor.membership.api.MembershipSettings
import org.ibismoor.membership.api.MembershipTables

internal typealias MembershipStep = Step<MembershipTables, MembershipEffect>

internal typealias MembershipSystem = TickSystem<MembershipTables, MembershipMessage, MembershipEffect>

internal class MembershipMachine(settings: MembershipSettings) :
    TickMachine<MembershipTables, MembershipMessage, MembershipEffect> {
    private val schedule = SystemSchedule(
        listOf(
            ConfigurationSystem(settings),
            RouterSystem(settings),
            UpstreamSystem(),
            HeartbeatAnswerSystem(),
            SummarySystem(settings),
            InForceSystem(settings),
        ),
    )

    override fun run(tables: MembershipTables, tick: Tick<MembershipMessage>): MembershipStep =
        schedule.run(tables, tick)

    override fun nextDue(tables: MembershipTables): Timestamp =
        listOfNotNull(tables.due.next, tables.summaryDue).min()
}
