/**
 * Control state of a router process: the tables of the routing decisions, what heartbeats told, and one row for the
 * messages to each control process.
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
    val heartbeatAt: Timestamp,
    val heartbeats: PersistentMap<FailureDomainId, HeartbeatRow> = persistentHashMapOf(),
    val outboxes: PersistentMap<FailureDomainId, OutboxRow> = persistentHashMapOf(),
)

/**
 * Heartbeats to one control process. The versions are those of that process, since each counts its own.
 */
internal data class HeartbeatRow(
    val isInFlight: Boolean = false,
    val heardAt: Timestamp? = null,
    val routerListVersion: Long = 0,
    val reportVersion: Long = 0,
)

/** Ledger requests to one control process: batches in flight by their number, and requests that wait for the next. */
internal data class OutboxRow(
    val inFlight: PersistentMap<Long, List<LedgerRequest>> = persistentHashMapOf(),
    val waiting: PersistentList<LedgerRequest> = persistentListOf(),
    val nextBatch: Long = 0,
)
