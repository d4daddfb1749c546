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

    /** Estimated number of requests in [queue] that are taken before [entry], whether or not it is in the queue. */
    fun <K> countAhead(queue: QueueRow<K>, entry: QueueEntry<K>): Int
}

/** The request taken from the queue, and the queue without it. */
data class DequeuedEntry<K>(val entry: QueueEntry<K>, val remaining: QueueRow<K>)

/** Baseline: order of the entries, regardless of priority and organisation. */
fun firstInFirstOut(): QueuePolicy = FirstInFirstOut

/** Strict ranks; within one, weighted deficit round robin between organisations, counted in the entries' cost. */
fun fairQueue(): QueuePolicy = FairQueue
