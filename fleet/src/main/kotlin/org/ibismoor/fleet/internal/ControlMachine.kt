/**
 * State machine of a control replica. A tick runs the schedule in passes: messages that one system sends another are
 * handled in the next pass of the same tick, until none remain.
 */
package org.ibismoor.fleet.internal

import kotlinx.collections.immutable.persistentListOf
import org.ibismoor.core.api.SystemSchedule
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickMachine
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.then
import org.ibismoor.fleet.api.ControlEffect
import org.ibismoor.fleet.api.ControlMessage
import org.ibismoor.fleet.api.ControlSettings
import org.ibismoor.fleet.api.ControlTables
import org.ibismoor.fleet.api.FleetCodec
import org.ibismoor.fleet.api.SyncLedger

/** Longer chains of messages continue in the next tick, so that a loop between systems cannot block the process. */
private const val MAXIMUM_PASSES = 16

internal class ControlMachine(codec: FleetCodec, settings: ControlSettings) :
    TickMachine<ControlTables, ControlMessage, ControlEffect> {
    private val consensus = ConsensusPart(settings.consensus)
    private val ledger = DomainLedgerPart(settings.ledger)
    private val shares = SharesPart(settings.shareSizing)
    private val membership = MembershipPart(settings.membership)

    private val reachability = ReachabilitySystem()

    private val schedule = SystemSchedule(
        listOf(
            PartSystem(consensus),
            LeadershipSystem(),
            reachability,
            ProposalAcceptanceSystem(),
            ApplySystem(codec),
            PartSystem(ledger),
            PartSystem(shares),
            PartSystem(membership),
            MemberSystem(),
            PublicationSystem(),
            ProposalSystem(codec),
            SnapshotSystem(codec, settings),
        ),
    )

    override fun run(tables: ControlTables, tick: Tick<ControlMessage>): ControlStep {
        var step = ControlStep(tables)
        var messages = tables.inbox + tick.messages
        var pass = 0
        do {
            step = step.then { schedule.run(it.copy(inbox = persistentListOf()), tick.copy(messages = messages)) }
            messages = step.tables.inbox
            pass++
        } while (messages.isNotEmpty() && pass < MAXIMUM_PASSES)
        return ControlStep(countLedgerRecords(step), step.effects)
    }

    private fun countLedgerRecords(step: ControlStep): ControlTables {
        val records = step.effects.sumOf { if (it is SyncLedger) it.records.size else 0 }
        val growth = step.tables.growth
        return when (records) {
            0 -> step.tables
            else -> step.tables.copy(growth = growth.copy(ledgerRecords = growth.ledgerRecords + records))
        }
    }

    override fun nextDue(tables: ControlTables): Timestamp? =
        when {
            tables.inbox.isNotEmpty() -> Timestamp(0)
            else ->
                listOfNotNull(
                    consensus.machine.nextDue(tables.consensus),
                    ledger.machine.nextDue(tables.ledger),
                    shares.machine.nextDue(tables.shares),
                    membership.machine.nextDue(tables.membership),
                    reachability.nextDue(tables),
                ).minOrNull()
        }
}
