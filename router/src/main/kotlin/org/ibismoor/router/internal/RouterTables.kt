/**
 * Control state of a router process: the tables of the routing decisions, the view received by heartbeats, and the rows
 * of the heartbeats and ledger requests to each control process.
 */
package org.ibismoor.router.internal

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentListOf
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.Timestamp
import org.ibismoor.ledger.api.LedgerRequest
import org.ibismoor.membership.api.RouterView
import org.ibismoor.routing.api.RoutingTables

internal data class RouterTables(
    val routing: RoutingTables,
    val view: RouterView = RouterView(),
    val nextHeartbeatAt: Timestamp,
    val heartbeats: PersistentMap<FailureDomainId, HeartbeatRow> = persistentHashMapOf(),
    val outboxes: PersistentMap<FailureDomainId, OutboxRow> = persistentHashMapOf(),
)

/** Heartbeats to one control process. The versions are those of that process, since each process numbers its own. */
internal data class HeartbeatRow(
    val isInFlight: Boolean = false,
    val lastContactAt: Timestamp? = null,
    val routerListVersion: Long = 0,
    val reportVersion: Long = 0,
)

/** Ledger requests to one control process: batches in flight by number, and requests queued for the next batch. */
internal data class OutboxRow(
    val batchesInFlight: PersistentMap<Long, List<LedgerRequest>> = persistentHashMapOf(),
    val waitingRequests: PersistentList<LedgerRequest> = persistentListOf(),
    val nextBatchNumber: Long = 0,
)
