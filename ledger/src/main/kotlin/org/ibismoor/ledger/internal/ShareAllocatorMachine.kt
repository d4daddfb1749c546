/**
 * Runs the systems of the share allocator and distributes new grants.
 */
package org.ibismoor.ledger.internal

import kotlinx.collections.immutable.persistentHashMapOf
import org.ibismoor.core.api.DueQueue
import org.ibismoor.core.api.Step
import org.ibismoor.core.api.SystemSchedule
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.TickMachine
import org.ibismoor.core.api.TickSystem
import org.ibismoor.core.api.Timestamp
import org.ibismoor.core.api.foldSteps
import org.ibismoor.ledger.api.FleetObserved
import org.ibismoor.ledger.api.LeadershipChanged
import org.ibismoor.ledger.api.NeedsReceived
import org.ibismoor.ledger.api.ReachableChanged
import org.ibismoor.ledger.api.ShareEffect
import org.ibismoor.ledger.api.ShareMessage
import org.ibismoor.ledger.api.ShareSizingPolicy
import org.ibismoor.ledger.api.ShareTables

internal class ShareAllocatorMachine(policy: ShareSizingPolicy) : TickMachine<ShareTables, ShareMessage, ShareEffect> {
    private val schedule =
        SystemSchedule(listOf(GrantSystem(policy), NeedSystem(policy), WaitingNeedSystem(policy)))

    override fun run(tables: ShareTables, tick: Tick<ShareMessage>): Step<ShareTables, ShareEffect> =
        schedule.run(tables, tick)

    override fun nextDue(tables: ShareTables): Timestamp? = tables.waitingDue.next
}

/** Updates leadership, reachability and the fleet state, and distributes new grants. */
internal class GrantSystem(private val policy: ShareSizingPolicy) : TickSystem<ShareTables, ShareMessage, ShareEffect> {
    override fun run(tables: ShareTables, tick: Tick<ShareMessage>): Step<ShareTables, ShareEffect> =
        foldSteps(tables, tick.messages, ::handleMessage)

    private fun handleMessage(tables: ShareTables, message: ShareMessage): Step<ShareTables, ShareEffect> =
        when (message) {
            is LeadershipChanged -> Step(updateLeadership(tables, message.isLeader))
            is ReachableChanged -> Step(tables.copy(reachable = message.replicas))
            is FleetObserved -> updateFleet(tables, message)
            is NeedsReceived -> Step(tables)
        }

    private fun updateLeadership(tables: ShareTables, isLeader: Boolean): ShareTables =
        tables.copy(isLeader = isLeader, waitingNeeds = persistentHashMapOf(), waitingDue = DueQueue.empty())

    private fun updateFleet(tables: ShareTables, message: FleetObserved): Step<ShareTables, ShareEffect> {
        val next = tables.copy(fleet = message.fleet, hasObserved = true)
        val changed = if (tables.isLeader) message.changed.sorted() else emptyList()
        val effects = changed.mapNotNull { budget ->
            issueGrant(next, budget, newlyGranted(tables, message.fleet, budget), policy)
        }
        return Step(next, effects)
    }
}
