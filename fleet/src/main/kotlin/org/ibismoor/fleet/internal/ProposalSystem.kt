/**
 * Routes commands to the leader: proposes them here if this replica leads and forwards them otherwise.
 */
package org.ibismoor.fleet.internal

import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.plus
import org.ibismoor.consensus.api.ProposalRefusal
import org.ibismoor.consensus.api.status
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickSystem
import org.ibismoor.core.api.foldSteps
import org.ibismoor.fleet.api.CommandAnswer
import org.ibismoor.fleet.api.CommandOutcomeUnknown
import org.ibismoor.fleet.api.CommandReceived
import org.ibismoor.fleet.api.CommandRefused
import org.ibismoor.fleet.api.ControlEffect
import org.ibismoor.fleet.api.ControlMessage
import org.ibismoor.fleet.api.ControlTables
import org.ibismoor.fleet.api.FleetCodec
import org.ibismoor.fleet.api.ForwardAnswered
import org.ibismoor.fleet.api.ForwardCommand
import org.ibismoor.fleet.api.NotLeader
import org.ibismoor.fleet.api.PendingCommand
import org.ibismoor.fleet.api.ReplicaOrigin

internal class ProposalSystem(private val codec: FleetCodec) :
    TickSystem<ControlTables, ControlMessage, ControlEffect> {
    override fun run(tables: ControlTables, tick: Tick<ControlMessage>): ControlStep =
        foldSteps(tables, tick.messages, ::handle)

    private fun handle(control: ControlTables, message: ControlMessage): ControlStep =
        when (message) {
            is CommandReceived ->
                ControlStep(propose(control, PendingCommand(ReplicaOrigin(message.reply), message.command)))
            is CommandProposed -> ControlStep(propose(control, message.pending))
            is CommandSubmitted -> submit(control, message.pending)
            is ProposalRejected -> ControlStep(applyRejection(control, message))
            is ForwardAnswered -> ControlStep(applyForwardAnswer(control, message))
            is LeaderRoleChanged -> ControlStep(if (message.isLeading) control else abandonAppended(control))
            else -> ControlStep(control)
        }

    private fun submit(control: ControlTables, pending: PendingCommand): ControlStep {
        val leader = control.consensus.status().leader
        return when (leader) {
            null -> ControlStep(withAnswer(control, pending, NotLeader(null)))
            control.replica -> ControlStep(propose(control, pending))
            else -> forward(control, pending, leader)
        }
    }

    private fun propose(control: ControlTables, pending: PendingCommand): ControlTables {
        val proposals = control.proposals
        val number = proposals.nextNumber
        return control.copy(
            proposals = proposals.copy(
                nextNumber = number + 1,
                proposed = proposals.proposed.put(number, pending),
            ),
            inbox = control.inbox + ProposalSubmitted(number, codec.writeCommand(pending.command)),
        )
    }

    private fun forward(control: ControlTables, pending: PendingCommand, leader: ReplicaId): ControlStep {
        val proposals = control.proposals
        val number = proposals.nextNumber
        val next = proposals.copy(
            nextNumber = number + 1,
            forwarded = proposals.forwarded.put(number, pending),
        )
        return ControlStep(
            control.copy(proposals = next),
            listOf(ForwardCommand(number, leader, pending.command)),
        )
    }

    private fun applyRejection(control: ControlTables, message: ProposalRejected): ControlTables {
        val proposals = control.proposals
        val pending = proposals.proposed[message.proposal] ?: return control
        val next = control.copy(proposals = proposals.copy(proposed = proposals.proposed.remove(message.proposal)))
        val answer = when (message.reason) {
            ProposalRefusal.NOT_LEADER -> NotLeader(message.leader)
            ProposalRefusal.OUTCOME_UNKNOWN -> CommandOutcomeUnknown
            ProposalRefusal.TOO_LARGE -> CommandRefused("the change is too large for one entry; publish it in parts")
            ProposalRefusal.TOO_MANY_PENDING -> CommandRefused("too many commands are open; send it again later")
        }
        return withAnswer(next, pending, answer)
    }

    private fun applyForwardAnswer(control: ControlTables, message: ForwardAnswered): ControlTables {
        val proposals = control.proposals
        val pending = proposals.forwarded[message.forward] ?: return control
        val next = proposals.copy(forwarded = proposals.forwarded.remove(message.forward))
        return withAnswer(control.copy(proposals = next), pending, message.answer)
    }

    /** A former leader cannot determine whether the entries that it appended will be committed. */
    private fun abandonAppended(control: ControlTables): ControlTables {
        val appended = control.proposals.appended.values
        val next = control.copy(proposals = control.proposals.copy(appended = persistentHashMapOf()))
        return appended.fold(next) { tables, command -> withAnswer(tables, command.pending, CommandOutcomeUnknown) }
    }

    private fun withAnswer(control: ControlTables, pending: PendingCommand, answer: CommandAnswer): ControlTables =
        control.copy(inbox = control.inbox + CommandAnswered(pending, answer))
}
