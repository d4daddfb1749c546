/**
 * Control state of one router: one table for each kind of entity, the indexes between them, the due times, and the
 * lists by which one system passes rows to the next within a tick.
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
 * [streamsByAttempt] is keyed by the attempt of the present reservation, [abandonedReservations] by that of the
 * abandoned one. [answerSizes] has the estimated answer size of each route in tokens. [groupsToAdmit], whose queues may
 * have a request that can proceed, [streamsToReserve] and [streamsToSelect] are empty between ticks.
 */
data class RoutingTables(
    val session: SessionId,
    val random: SeededRandom,
    val nextAttempt: Long = 0,
    val configuration: ConfigurationTables = ConfigurationTables(),
    val routesByModel: PersistentMap<String, RouteId> = persistentHashMapOf(),
    val groups: PersistentMap<UpstreamGroupId, GroupRow> = persistentHashMapOf(),
    val upstreams: PersistentMap<UpstreamId, UpstreamRow> = persistentHashMapOf(),
    val streams: PersistentMap<StreamId, StreamRow> = persistentHashMapOf(),
    val streamsByAttempt: PersistentMap<AttemptId, StreamId> = persistentHashMapOf(),
    val abandonedReservations: PersistentMap<AttemptId, AbandonedReservationRow> = persistentHashMapOf(),
    val authorities: PersistentMap<FailureDomainId, AuthorityRow> = persistentHashMapOf(),
    val rateLimits: PersistentMap<OrganisationId, RateLimitRow> = persistentHashMapOf(),
    val answerSizes: PersistentMap<RouteId, Long> = persistentHashMapOf(),
    val queuedCount: Int = 0,
    val due: DueQueue<RoutingTimer> = DueQueue.empty(),
    val groupsToAdmit: PersistentSet<UpstreamGroupId> = persistentHashSetOf(),
    val streamsToReserve: PersistentList<StreamId> = persistentListOf(),
    val streamsToSelect: PersistentList<StreamId> = persistentListOf(),
    val drain: DrainRow? = null,
)
