/**
 * Decides the order in which waiting requests of an upstream group leave the queue.
 */
package org.ibismoor.routing.api

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.PersistentSet
import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.collections.immutable.persistentMapOf
import org.ibismoor.configuration.api.Priority
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.routing.internal.FairQueue
import org.ibismoor.routing.internal.FirstInFirstOut

/** A waiting request. [cost] is the bound of its cost in budget tokens. */
data class QueueEntry(
    val stream: StreamId,
    val organisation: OrganisationId,
    val priority: Priority,
    val weight: Int,
    val cost: Long,
)

/** Waiting requests of one organisation in one priority, oldest first. */
data class QueueLane(
    val entries: PersistentMap<StreamId, QueueEntry> = persistentMapOf(),
    val deficit: Long = 0,
)

data class LaneId(val priority: Priority, val organisation: OrganisationId)

/** [turns] lists the organisations with waiting requests in the order in which they are served. */
data class QueueRow(
    val lanes: PersistentMap<LaneId, QueueLane> = persistentHashMapOf(),
    val turns: PersistentMap<Priority, PersistentSet<OrganisationId>> = persistentHashMapOf(),
    val size: Int = 0,
)

/** The request that leaves the queue, and the queue without it. */
data class QueueTurn(val entry: QueueEntry, val rest: QueueRow)

interface QueuePolicy {
    fun add(queue: QueueRow, entry: QueueEntry): QueueRow

    fun remove(queue: QueueRow, entry: QueueEntry): QueueRow

    /** The next request, or null if none waits. */
    fun next(queue: QueueRow): QueueTurn?
}

/** Baseline: requests leave in order of arrival, whatever their priority and organisation. */
fun firstInFirstOut(): QueuePolicy = FirstInFirstOut

/** Strict priorities; within one, deficit round robin between organisations by weight, counted in budget tokens. */
fun fairQueue(): QueuePolicy = FairQueue
