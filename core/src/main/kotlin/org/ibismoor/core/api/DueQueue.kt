/**
 * An immutable queue of identifiers ordered by due time. Adding costs O(log n) and so does taking a due identifier.
 * Entries are not removed when a row changes: the owner compares the due time in the row with the time of the entry
 * and ignores a stale one.
 */
package org.ibismoor.core.api

import org.ibismoor.core.internal.HeapNode
import org.ibismoor.core.internal.merge

class DueQueue<K> private constructor(private val root: HeapNode<K>?) {
    /** Earliest time in the queue, or null if it is empty. */
    val next: Timestamp? get() = root?.time

    fun plus(time: Timestamp, id: K): DueQueue<K> = DueQueue(merge(root, HeapNode(time, id)))

    /** Removes all entries that are due at [now] and returns them in order of time. */
    fun take(now: Timestamp): Due<K> {
        val due = mutableListOf<DueEntry<K>>()
        var rest = root
        while (rest != null && rest.time <= now) {
            due += DueEntry(rest.time, rest.id)
            rest = merge(rest.left, rest.right)
        }
        return Due(due, DueQueue(rest))
    }

    companion object {
        fun <K> empty(): DueQueue<K> = DueQueue(null)
    }
}
