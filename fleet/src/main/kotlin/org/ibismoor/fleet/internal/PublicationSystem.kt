/**
 * Converts publications to commands and answers operators and other replicas with the results of commands.
 */
package org.ibismoor.fleet.internal

import kotlinx.collections.immutable.plus
import org.ibismoor.configuration.api.deltaBetween
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickSystem
import org.ibismoor.core.api.foldSteps
import org.ibismoor.fleet.api.AllocatorOrigin
import org.ibismoor.fleet.api.AnswerCommand
import org.ibismoor.fleet.api.AnswerPublication
import org.ibismoor.fleet.api.CommandAnswer
import org.ibismoor.fleet.api.CommandCommitted
import org.ibismoor.fleet.api.ControlEffect
import org.ibismoor.fleet.api.ControlMessage
import org.ibismoor.fleet.api.ControlTables
import org.ibismoor.fleet.api.LedgerOrigin
import org.ibismoor.fleet.api.PendingCommand
import org.ibismoor.fleet.api.PublicationOrigin
import org.ibismoor.fleet.api.PublicationReceived
import org.ibismoor.fleet.api.ReplicaOrigin
import org.ibismoor.ledger.api.Publish
import org.ibismoor.ledger.api.StaleDelta

internal class PublicationSystem : TickSystem<ControlTables, ControlMessage, ControlEffect> {
    override fun run(tables: ControlTables, tick: Tick<ControlMessage>): ControlStep =
        foldSteps(tables, tick.messages, ::handle)

    private fun handle(control: ControlTables, message: ControlMessage): ControlStep =
        when (message) {
            is PublicationReceived ->
                publish(control, PublicationOrigin(message.reply, message.configuration, message.digest))
            is CommandAnswered -> answerOrigin(control, message.pending, message.answer)
            else -> ControlStep(control)
        }

    /** Computes the delta from the current configuration. If another publication comes first, it is computed again. */
    private fun publish(control: ControlTables, origin: PublicationOrigin): ControlStep {
        val delta = deltaBetween(control.fleet.configuration, origin.configuration)
        val pending = PendingCommand(origin, Publish(delta, origin.digest))
        return ControlStep(control.copy(inbox = control.inbox + CommandProposed(pending)))
    }

    private fun answerOrigin(control: ControlTables, pending: PendingCommand, answer: CommandAnswer): ControlStep =
        when (val origin = pending.origin) {
            is LedgerOrigin, is AllocatorOrigin -> ControlStep(control)
            is ReplicaOrigin -> ControlStep(control, listOf(AnswerCommand(origin.reply, answer)))
            is PublicationOrigin -> answerPublication(control, origin, answer)
        }

    private fun answerPublication(control: ControlTables, origin: PublicationOrigin, answer: CommandAnswer) =
        when {
            isStale(answer) -> publish(control, origin)
            else -> ControlStep(control, listOf(AnswerPublication(origin.reply, answer)))
        }

    private fun isStale(answer: CommandAnswer): Boolean = answer is CommandCommitted && answer.result is StaleDelta
}
