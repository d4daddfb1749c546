/**
 * The queue of an upstream group: one lane for each organisation and rank.
 */
package org.ibismoor.admission.api

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import org.ibismoor.core.api.DueQueue
import org.ibismoor.core.api.OrganisationId

/** [serviceOrder] has the organisations with queued requests, in the order of the round robin. */
data class QueueRow<K>(
    val lanes: PersistentMap<LaneId, QueueLane<K>> = persistentHashMapOf(),
    val serviceOrder: PersistentMap<QueueRank, PersistentSet<OrganisationId>> = persistentHashMapOf(),
    val sizes: PersistentMap<QueueRank, Int> = persistentHashMapOf(),
    val size: Int = 0,
)

data class LaneId(val rank: QueueRank, val organisation: OrganisationId)

/**
 * Queued requests of one organisation at one rank. [schedule] has their order; it may also have requests that were
 * removed, which are skipped. [deficit] is in the unit of the entries' cost. [counts] has the number of requests for
 * each interval of the order.
 */
data class QueueLane<K>(
    val entries: PersistentMap<K, QueueEntry<K>> = persistentHashMapOf(),
    val schedule: DueQueue<QueueEntry<K>> = DueQueue.empty(),
    val counts: PersistentMap<Long, Int> = persistentHashMapOf(),
    val deficit: Long = 0,
)
