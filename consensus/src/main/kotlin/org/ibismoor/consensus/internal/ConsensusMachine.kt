/**
 * The schedule of the consensus systems. The records of a tick are merged into one effect before all others, so that
 * they are synced once, and before any message that depends on them is sent.
 */
package org.ibismoor.consensus.internal

import org.ibismoor.consensus.api.ConsensusEffect
import org.ibismoor.consensus.api.ConsensusInput
import org.ibismoor.consensus.api.ConsensusSettings
import org.ibismoor.consensus.api.ConsensusTables
import org.ibismoor.consensus.api.PersistRecords
import org.ibismoor.core.api.Step
import org.ibismoor.core.api.SystemSchedule
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickMachine
import org.ibismoor.core.api.Timestamp

internal class ConsensusMachine(settings: ConsensusSettings) :
    TickMachine<ConsensusTables, ConsensusInput, ConsensusEffect> {
    private val schedule = SystemSchedule(
        listOf(
            MessageIntakeSystem(settings),
            ElectionSystem(settings),
            ReplicationSystem(settings),
            CommitSystem(settings),
            MembershipSystem(settings),
            SnapshotSystem(settings),
        ),
    )

    override fun run(tables: ConsensusTables, tick: Tick<ConsensusInput>): ConsensusStep {
        val step = schedule.run(tables, tick)
        return Step(step.tables, withRecordsFirst(step.effects))
    }

    /** An outsider has no timeouts. */
    override fun nextDue(tables: ConsensusTables): Timestamp? {
        val leadership = tables.leadership
        return when {
            leadership != null ->
                minOf(leadership.heartbeatDue, nextSnapshotPartDue(leadership) ?: leadership.heartbeatDue)
            tables.isMember() -> tables.electionDue
            else -> null
        }
    }

    private fun nextSnapshotPartDue(leadership: Leadership): Timestamp? =
        leadership.peers.values.mapNotNull { it.outgoing?.due }.minOrNull()

    private fun withRecordsFirst(effects: List<ConsensusEffect>): List<ConsensusEffect> {
        val (records, others) = effects.partition { it is PersistRecords }
        val merged = records.flatMap { (it as PersistRecords).records }
        return if (merged.isEmpty()) others else listOf(PersistRecords(merged)) + others
    }
}
