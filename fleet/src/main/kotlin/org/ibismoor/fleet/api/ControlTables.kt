/**
 * State of one control replica: the tables of its parts, the pending commands, and in [ControlTables.inbox] the
 * messages that its systems sent each other and that the next pass of the tick handles.
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

/** Last contact with each replica, the replicas that the leader counts as reachable, and the time of the next check. */
data class ReachabilityTables(
    val lastContactAt: PersistentMap<ReplicaId, Timestamp> = persistentHashMapOf(),
    val reachable: Set<ReplicaId> = emptySet(),
    val checkAt: Timestamp? = null,
)

/** Entries and characters applied since the last snapshot, and records written since the last ledger compaction. */
data class LogGrowth(val entries: Int = 0, val characters: Long = 0, val ledgerRecords: Int = 0)
