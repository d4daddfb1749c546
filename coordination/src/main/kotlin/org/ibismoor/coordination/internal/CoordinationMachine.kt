/**
 * The state machine of a control replica. The systems run in several passes while they leave work for each other, so
 * that proposals of a tick are appended in it and commands that a single-member group commits at once are also applied
 * in it.
 */
package org.ibismoor.coordination.internal

import org.ibismoor.consensus.api.createConsensus
import org.ibismoor.coordination.api.CoordinationCodec
import org.ibismoor.coordination.api.CoordinationEffect
import org.ibismoor.coordination.api.CoordinationMessage
import org.ibismoor.coordination.api.CoordinationSettings
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.core.api.SystemSchedule
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickMachine
import org.ibismoor.core.api.Timestamp

/** Bounds one tick; work that is left then continues in the next tick. */
private const val MAXIMUM_PASSES = 8

internal class CoordinationMachine(codec: CoordinationCodec, settings: CoordinationSettings) :
    TickMachine<CoordinationTables, CoordinationMessage, CoordinationEffect> {
    private val consensus = createConsensus(settings.consensus)
    private val join = JoinSystem(settings)
    private val routers = RouterSystem(settings)

    private val schedule = SystemSchedule(
        listOf(
            ConsensusSystem(consensus),
            ApplySystem(codec, settings),
            LeadershipSystem(),
            join,
            LeaderAnnouncementSystem(settings),
            routers,
            FleetViewSystem(settings),
            SoftwareVersionSystem(codec, settings),
            UpstreamListSystem(),
            RequestQuarantineSystem(codec, settings),
            QuarantineSystem(settings),
            ReportSystem(codec, settings),
            PublicationSystem(codec, settings),
            EvacuationSystem(codec, settings),
            ReadSystem(),
            SnapshotSystem(codec, settings),
        ),
    )

    override fun run(tables: CoordinationTables, tick: Tick<CoordinationMessage>): CoordinationStep {
        var step = schedule.run(tables, tick)
        var pass = 1
        while (hasWork(step.tables) && pass < MAXIMUM_PASSES) {
            val next = schedule.run(step.tables, tick.copy(messages = emptyList()))
            step = CoordinationStep(next.tables, step.effects + next.effects)
            pass++
        }
        return step
    }

    private fun hasWork(tables: CoordinationTables): Boolean =
        tables.consensusInputs.isNotEmpty() || tables.committedCommands.isNotEmpty()

    override fun nextDue(tables: CoordinationTables): Timestamp? =
        when {
            hasWork(tables) -> tables.consensus.now
            else -> listOfNotNull(
                consensus.nextDue(tables.consensus),
                join.nextDue(tables),
                routers.nextDue(tables),
            ).minOrNull()
        }
}
