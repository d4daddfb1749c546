/**
 * Decides the order in which queued requests of an upstream group are dispatched.
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

/** A queued request. [cost] is the upper bound of its cost in budget tokens. */
data class QueueEntry(
    val stream: StreamId,
    val organisation: OrganisationId,
    val priority: Priority,
    val weight: Int,
    val cost: Long,
)

/** Queued requests of one organisation at one priority, oldest first. [deficit] is in budget tokens. */
data class QueueLane(
    val entries: PersistentMap<StreamId, QueueEntry> = persistentMapOf(),
    val deficit: Long = 0,
)

data class LaneId(val priority: Priority, val organisation: OrganisationId)

/** [serviceOrder] has the organisations with queued requests, in the order of the round robin. */
data class QueueRow(
    val lanes: PersistentMap<LaneId, QueueLane> = persistentHashMapOf(),
    val serviceOrder: PersistentMap<Priority, PersistentSet<OrganisationId>> = persistentHashMapOf(),
    val size: Int = 0,
)

/** The request taken from the queue, and the queue without it. */
data class DequeuedEntry(val entry: QueueEntry, val remaining: QueueRow)

interface QueuePolicy {
    fun enqueue(queue: QueueRow, entry: QueueEntry): QueueRow

    fun remove(queue: QueueRow, entry: QueueEntry): QueueRow

    /** Takes the next request from the queue, or returns null if it is empty. */
    fun dequeue(queue: QueueRow): DequeuedEntry?
}

/** Baseline: order of arrival, regardless of priority and organisation. */
fun firstInFirstOut(): QueuePolicy = FirstInFirstOut

/** Strict priorities; within one, weighted deficit round robin between organisations, counted in budget tokens. */
fun fairQueue(): QueuePolicy = FairQueue
