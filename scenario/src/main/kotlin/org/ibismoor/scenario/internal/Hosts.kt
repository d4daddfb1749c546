/**
 * Rows of the processes of a running scenario. A process without tables is down; a frozen one queues its messages.
 */
package org.ibismoor.scenario.internal

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import org.ibismoor.consensus.api.ConsensusRecord
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.RouterId
import org.ibismoor.core.api.SessionId
import org.ibismoor.core.api.Timestamp
import org.ibismoor.fleet.api.ControlMessage
import org.ibismoor.fleet.api.ControlTables
import org.ibismoor.ledger.api.ChargeRecord
import org.ibismoor.ledger.api.ChargeRow
import org.ibismoor.ledger.api.DomainRecord
import org.ibismoor.membership.api.RouterView
import org.ibismoor.routing.api.RoutingMessage
import org.ibismoor.routing.api.RoutingTables
import org.ibismoor.scenario.api.ProcessAction

/** A control process with its disk. [nextRunAt] is the scenario time by which it must run next. */
internal data class ReplicaHost(
    val replica: ReplicaId,
    val tables: ControlTables?,
    val consensusLog: PersistentList<ConsensusRecord>,
    val ledgerLog: PersistentList<DomainRecord> = persistentListOf(),
    val isFrozen: Boolean = false,
    val inbox: PersistentList<ControlMessage> = persistentListOf(),
    val clock: HostClock = HostClock(),
    val nextRunAt: Timestamp? = null,
    val diskFault: ProcessAction? = null,
) {
    val endpoint: Endpoint get() = Endpoint(replica.domain, replica.domain.text)

    /** Charges on the disk of this process. */
    val charges: List<ChargeRow> get() = ledgerLog.filterIsInstance<ChargeRecord>().map { it.charge }
}

/** A router process. [startCount] gives each run a session of its own; [nextRunAt] as in [ReplicaHost]. */
internal data class RouterHost(
    val id: RouterId,
    val domain: FailureDomainId,
    val number: Int,
    val startCount: Int = 0,
    val tables: RoutingTables? = null,
    val view: RouterView = RouterView(),
    val heartbeats: PersistentMap<FailureDomainId, HeartbeatRow> = persistentHashMapOf(),
    val isDraining: Boolean = false,
    val isFrozen: Boolean = false,
    val inbox: PersistentList<RoutingMessage> = persistentListOf(),
    val clock: HostClock = HostClock(),
    val nextRunAt: Timestamp? = null,
) {
    val endpoint: Endpoint get() = Endpoint(domain, id.text)

    val session: SessionId get() = SessionId("$id-$startCount")
}
