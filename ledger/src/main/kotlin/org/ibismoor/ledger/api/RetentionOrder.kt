/**
 * Entries numbered from 1 in order of insertion, so that the oldest can be dropped at constant cost. The numbers of the
 * remaining entries are within `first until next`.
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

    /** Sets the entry of a number that was already assigned. */
    fun withEntry(number: Long, entry: T): RetentionOrder<T> = copy(entries = entries.put(number, entry))

    /** Removes the entry [number], for example because its key has a newer one. */
    fun withoutEntry(number: Long?): RetentionOrder<T> =
        if (number == null) this else copy(entries = entries.remove(number))

    fun entriesThrough(number: Long): List<T> = (first..minOf(number, next - 1)).mapNotNull { entries[it] }

    fun withoutThrough(number: Long): RetentionOrder<T> {
        val last = minOf(number, next - 1)
        val rest = (first..last).fold(entries) { remaining, n -> remaining.remove(n) }
        return copy(entries = rest, first = maxOf(first, last + 1))
    }
}
