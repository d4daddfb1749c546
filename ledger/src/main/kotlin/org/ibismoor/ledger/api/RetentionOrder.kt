/**
 * Entries in the order in which they were added, numbered from 1, so that the oldest are dropped first at constant
 * cost. The numbers of the entries that are kept are `first until next`.
 */
package org.ibismoor.ledger.api

import kotlinx.collections.immutable.persistentHashMapOf
import kotlinx.serialization.Serializable
import org.ibismoor.core.api.Table

@Serializable
data class RetentionOrder<T>(
    val entries: Table<Long, T> = persistentHashMapOf(),
    val first: Long = 1,
    val next: Long = 1,
) {
    val size: Long get() = next - first

    fun plus(entry: T): RetentionOrder<T> = copy(entries = entries.put(next, entry), next = next + 1)

    /** This order with an entry under a number that it already counts. */
    fun with(number: Long, entry: T): RetentionOrder<T> = copy(entries = entries.put(number, entry))

    /** This order without the entry numbered [number], whose key has a newer entry. */
    fun without(number: Long?): RetentionOrder<T> =
        if (number == null) this else copy(entries = entries.remove(number))

    /** The entries numbered up to [number]. */
    fun through(number: Long): List<T> = (first..minOf(number, next - 1)).mapNotNull { entries[it] }

    /** This order without the entries numbered up to [number]. */
    fun after(number: Long): RetentionOrder<T> {
        val last = minOf(number, next - 1)
        val rest = (first..last).fold(entries) { kept, n -> kept.remove(n) }
        return copy(entries = rest, first = maxOf(first, last + 1))
    }
}
