/**
 * Control state of one router: one table for each kind of entity, the indexes between them, the due times, and the
 * lists by which one system hands rows to the next within a tick.
 */
package org.ibismoor.routing.api

import kotlinx.collections.immutable.PersistentList
import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentHashSetOf
import kotlinx.collections.immutable.persistentListOf
import org.ibismoor.configuration.api.ConfigurationTables
import org.ibismoor.core.api.AttemptId
import org.ibismoor.core.api.DueQueue
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.RouteId
import org.ibismoor.core.api.SeededRandom
import org.ibismoor.core.api.SessionId
import org.ibismoor.core.api.UpstreamGroupId
import org.ibismoor.core.api.UpstreamId

/**
 * [closings] holds ledger requests that end reservations which no stream uses any more; a row stays until the ledger
 * answers or its session there has expired. [toReserve], [toSelect] and [toAdmit] are empty between ticks.
 */
data class RoutingTables(
    val session: SessionId,
    val random: SeededRandom,
    val nextAttempt: Long = 0,
    val configuration: ConfigurationTables = ConfigurationTables(),
    val models: PersistentMap<String, RouteId> = persistentHashMapOf(),
    val groups: PersistentMap<UpstreamGroupId, GroupRow> = persistentHashMapOf(),
    val upstreams: PersistentMap<UpstreamId, UpstreamRow> = persistentHashMapOf(),
    val streams: PersistentMap<StreamId, StreamRow> = persistentHashMapOf(),
    val attempts: PersistentMap<AttemptId, StreamId> = persistentHashMapOf(),
    val closings: PersistentMap<AttemptId, ClosingRow> = persistentHashMapOf(),
    val authorities: PersistentMap<FailureDomainId, AuthorityRow> = persistentHashMapOf(),
    val usage: PersistentMap<OrganisationId, UsageRow> = persistentHashMapOf(),
    val answerSizes: PersistentMap<RouteId, Long> = persistentHashMapOf(),
    val queued: Int = 0,
    val due: DueQueue<RoutingTimer> = DueQueue.empty(),
    val toAdmit: PersistentSet<UpstreamGroupId> = persistentHashSetOf(),
    val toReserve: PersistentList<StreamId> = persistentListOf(),
    val toSelect: PersistentList<StreamId> = persistentListOf(),
    val drain: DrainRow? = null,
)
