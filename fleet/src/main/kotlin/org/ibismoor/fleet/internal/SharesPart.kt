/**
 * Adapts the share allocator to the messages and effects of the control replica. It acts only at the leader.
 */
package org.ibismoor.fleet.internal

import org.ibismoor.fleet.api.AllocatorOrigin
import org.ibismoor.fleet.api.BudgetsExhausted
import org.ibismoor.fleet.api.ControlMessage
import org.ibismoor.fleet.api.ControlTables
import org.ibismoor.fleet.api.PeerMessageReceived
import org.ibismoor.fleet.api.PendingCommand
import org.ibismoor.fleet.api.ShareReturnRequested
import org.ibismoor.fleet.api.SharesNeeded
import org.ibismoor.ledger.api.FleetObserved
import org.ibismoor.ledger.api.IssueTokens
import org.ibismoor.ledger.api.LeadershipChanged
import org.ibismoor.ledger.api.NeedsReceived
import org.ibismoor.ledger.api.NotifySharesExhausted
import org.ibismoor.ledger.api.ReachableChanged
import org.ibismoor.ledger.api.RequestReturn
import org.ibismoor.ledger.api.ShareEffect
import org.ibismoor.ledger.api.ShareMessage
import org.ibismoor.ledger.api.ShareSizingPolicy
import org.ibismoor.ledger.api.ShareTables
import org.ibismoor.ledger.api.createShareAllocator

internal class SharesPart(policy: ShareSizingPolicy) : Part<ShareTables, ShareMessage, ShareEffect> {
    override val machine = createShareAllocator(policy)

    override fun tables(control: ControlTables): ShareTables = control.shares

    override fun withTables(control: ControlTables, tables: ShareTables): ControlTables = control.copy(shares = tables)

    override fun messagesFor(control: ControlTables, message: ControlMessage): List<ShareMessage> =
        when (message) {
            is LeaderRoleChanged -> leadershipMessages(control, message.isLeading)
            is ReachableReplicasChanged -> listOf(ReachableChanged(message.replicas))
            is FleetTablesChanged -> listOf(FleetObserved(control.fleet, message.changed))
            is PeerMessageReceived -> listOfNotNull(needsReceived(message))
            else -> emptyList()
        }

    private fun leadershipMessages(control: ControlTables, isLeading: Boolean): List<ShareMessage> =
        when {
            isLeading ->
                listOf(LeadershipChanged(true), FleetObserved(control.fleet, control.fleet.budgets.keys))
            else -> listOf(LeadershipChanged(false))
        }

    private fun needsReceived(message: PeerMessageReceived): ShareMessage? =
        (message.message as? SharesNeeded)?.let { NeedsReceived(message.from, it.needs) }

    override fun translate(control: ControlTables, effect: ShareEffect): Translation =
        when (effect) {
            is IssueTokens ->
                Translation.message(CommandSubmitted(PendingCommand(AllocatorOrigin, effect.command)))
            is RequestReturn ->
                deliver(control, effect.replica, ShareReturnRequested(effect.budget, effect.amount, effect.urgent))
            is NotifySharesExhausted -> deliver(control, effect.replica, BudgetsExhausted(effect.exhausted))
        }
}
