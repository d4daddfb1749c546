/**
 * The whole state of one control replica: the tables of its parts, the commands under way, and the messages that one
 * system left for the next pass of the same tick.
 */
package org.ibismoor.fleet.api

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import org.ibismoor.consensus.api.ConsensusTables
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.Timestamp
import org.ibismoor.ledger.api.DomainLedgerTables
import org.ibismoor.ledger.api.FleetTables
import org.ibismoor.ledger.api.ShareTables
import org.ibismoor.membership.api.MembershipTables

data class ControlTables(
    val replica: ReplicaId,
    val consensus: ConsensusTables,
    val fleet: FleetTables,
    val ledger: DomainLedgerTables,
    val shares: ShareTables,
    val membership: MembershipTables,
    val appliedIndex: Long = 0,
    val isLeading: Boolean = false,
    val reachability: ReachabilityTables = ReachabilityTables(),
    val proposals: ProposalTables = ProposalTables(),
    val growth: LogGrowth = LogGrowth(),
    val inbox: PersistentList<ControlMessage> = persistentListOf(),
)

/** When each replica was last heard, which of them the leader counts as reachable, and when it checks again. */
data class ReachabilityTables(
    val heardAt: PersistentMap<ReplicaId, Timestamp> = persistentHashMapOf(),
    val reachable: Set<ReplicaId> = emptySet(),
    val checkAt: Timestamp? = null,
)

/** How much was written since the last snapshot and since the last rewrite of the ledger's log. */
data class LogGrowth(val entries: Int = 0, val characters: Long = 0, val ledgerRecords: Int = 0)
