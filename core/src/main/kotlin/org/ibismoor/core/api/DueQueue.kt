/**
 * An immutable priority queue of identifiers ordered by due time. Adding an entry and taking a due one each cost
 * O(log n). Changing a row does not remove its entry: the owner compares the due time in the row with the time of the
 * entry and ignores stale entries.
 */
package org.ibismoor.core.api

import org.ibismoor.core.internal.HeapNode
import org.ibismoor.core.internal.merge

class DueQueue<K> private constructor(private val root: HeapNode<K>?) {
    /** Earliest time in the queue, or null if it is empty. */
    val next: Timestamp? get() = root?.time

    /** The entry that is due first, or null if the queue is empty. */
    val first: K? get() = root?.id

    fun plus(time: Timestamp, id: K): DueQueue<K> = DueQueue(merge(root, HeapNode(time, id)))

    /** Splits off all entries that are due at [now], ordered by time. This queue is unchanged. */
    fun take(now: Timestamp): DueEntries<K> {
        val due = mutableListOf<DueEntry<K>>()
        var rest = root
        while (rest != null && rest.time <= now) {
            due += DueEntry(rest.time, rest.id)
            rest = merge(rest.left, rest.right)
        }
        return DueEntries(due, DueQueue(rest))
    }

    /** The queue without its [first] entry; an empty queue is returned unchanged. */
    fun withoutFirst(): DueQueue<K> = if (root == null) this else DueQueue(merge(root.left, root.right))

    companion object {
        fun <K> empty(): DueQueue<K> = DueQueue(null)
    }
}
