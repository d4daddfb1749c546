/**
 * Decides the order in which queued requests of an upstream group are dispatched.
 */
package org.ibismoor.admission.api

import org.ibismoor.admission.internal.FairQueue
import org.ibismoor.admission.internal.FirstInFirstOut

interface QueuePolicy {
    fun <K> enqueue(queue: QueueRow<K>, entry: QueueEntry<K>): QueueRow<K>

    fun <K> remove(queue: QueueRow<K>, entry: QueueEntry<K>): QueueRow<K>

    /** Takes the next request from the queue, or returns null if it is empty. */
    fun <K> dequeue(queue: QueueRow<K>): DequeuedEntry<K>?

    /** Puts back an entry that was dequeued and could not be sent. Its organisation gets its turn back. */
    fun <K> restore(queue: QueueRow<K>, entry: QueueEntry<K>): QueueRow<K>

    /** Estimated number of requests in [queue] that would be taken before [entry], which is not in the queue yet. */
    fun <K> countAhead(queue: QueueRow<K>, entry: QueueEntry<K>): Int
}

/** The request taken from the queue, and the queue without it. */
data class DequeuedEntry<K>(val entry: QueueEntry<K>, val remaining: QueueRow<K>)

/** Baseline: order of the entries, regardless of priority and organisation. */
fun firstInFirstOut(): QueuePolicy = FirstInFirstOut

/** About the cost of a typical request, so that a turn serves few requests and few turns serve none. */
private const val QUANTUM_TOKENS = 2_048L

/**
 * Strict ranks; within one, weighted deficit round robin between organisations, counted in the entries' cost. A turn
 * adds [quantumTokens] by the weight of the organisation.
 */
fun fairQueue(quantumTokens: Long = QUANTUM_TOKENS): QueuePolicy = FairQueue(quantumTokens)
