/**
 * Adapts the domain ledger to the messages and effects of the control replica.
 */
package org.ibismoor.fleet.internal

import org.ibismoor.fleet.api.AnswerLedgerRequests
import org.ibismoor.fleet.api.BudgetsExhausted
import org.ibismoor.fleet.api.CommandCommitted
import org.ibismoor.fleet.api.ControlMessage
import org.ibismoor.fleet.api.ControlTables
import org.ibismoor.fleet.api.LedgerOrigin
import org.ibismoor.fleet.api.LedgerRequestsReceived
import org.ibismoor.fleet.api.PeerMessage
import org.ibismoor.fleet.api.PeerMessageReceived
import org.ibismoor.fleet.api.PendingCommand
import org.ibismoor.fleet.api.ShareReturnRequested
import org.ibismoor.fleet.api.SharesNeeded
import org.ibismoor.fleet.api.SyncLedger
import org.ibismoor.ledger.api.AnswerBatch
import org.ibismoor.ledger.api.AppendRecords
import org.ibismoor.ledger.api.CommandFinished
import org.ibismoor.ledger.api.DomainLedgerEffect
import org.ibismoor.ledger.api.DomainLedgerMessage
import org.ibismoor.ledger.api.DomainLedgerSettings
import org.ibismoor.ledger.api.DomainLedgerTables
import org.ibismoor.ledger.api.FleetAdvanced
import org.ibismoor.ledger.api.ProposeCommand
import org.ibismoor.ledger.api.RequestShares
import org.ibismoor.ledger.api.RequestsReceived
import org.ibismoor.ledger.api.ReturnRequested
import org.ibismoor.ledger.api.SessionContactReceived
import org.ibismoor.ledger.api.SharesExhausted
import org.ibismoor.ledger.api.createDomainLedger

internal class DomainLedgerPart(settings: DomainLedgerSettings) :
    Part<DomainLedgerTables, DomainLedgerMessage, DomainLedgerEffect> {
    override val machine = createDomainLedger(settings)

    override fun tables(control: ControlTables): DomainLedgerTables = control.ledger

    override fun withTables(control: ControlTables, tables: DomainLedgerTables): ControlTables =
        control.copy(ledger = tables)

    override fun messagesFor(control: ControlTables, message: ControlMessage): List<DomainLedgerMessage> =
        listOfNotNull(
            when (message) {
                is LedgerRequestsReceived -> RequestsReceived(message.reply, message.session, message.requests)
                is RouterContactReceived -> SessionContactReceived(message.session)
                is FleetTablesChanged -> FleetAdvanced(control.fleet, message.changed)
                is CommandAnswered -> ownCommandFinished(message)
                is PeerMessageReceived -> peerMessage(message.message)
                else -> null
            },
        )

    private fun ownCommandFinished(message: CommandAnswered): DomainLedgerMessage? {
        val result = (message.answer as? CommandCommitted)?.result
        val isOwn = message.pending.origin == LedgerOrigin
        return if (isOwn) CommandFinished(message.pending.command, result) else null
    }

    private fun peerMessage(message: PeerMessage): DomainLedgerMessage? =
        when (message) {
            is ShareReturnRequested -> ReturnRequested(message.budget, message.amount, message.urgent)
            is BudgetsExhausted -> SharesExhausted(message.budgets)
            is SharesNeeded -> null
        }

    override fun translate(control: ControlTables, effect: DomainLedgerEffect): Translation =
        when (effect) {
            is AppendRecords -> Translation.effect(SyncLedger(effect.records))
            is AnswerBatch -> Translation.effect(AnswerLedgerRequests(effect.batch, effect.answers))
            is ProposeCommand ->
                Translation.message(CommandSubmitted(PendingCommand(LedgerOrigin, effect.command)))
            is RequestShares -> deliverToLeader(control, SharesNeeded(effect.needs))
        }
}
