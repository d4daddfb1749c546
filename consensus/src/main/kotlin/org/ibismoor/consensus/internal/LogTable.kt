/**
 * The suffix of the log in memory: the entries after [LogTable.baseIndex]. Appending, truncating and dropping cost time
 * in proportion to the entries that change.
 */
package org.ibismoor.consensus.internal

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentHashMapOf
import org.ibismoor.consensus.api.ConsensusEntry

internal data class LogTable(
    /** Index and term of the last entry before the suffix. */
    val baseIndex: Long = 0,
    val baseTerm: Long = 0,
    val lastIndex: Long = 0,
    private val entries: PersistentMap<Long, ConsensusEntry> = persistentHashMapOf(),
) {
    val lastTerm: Long get() = checkNotNull(termAt(lastIndex))

    /** Term of the entry at [index], or null if that entry is neither in memory nor the last one before. */
    fun termAt(index: Long): Long? = if (index == baseIndex) baseTerm else entries[index]?.term

    fun entry(index: Long): ConsensusEntry = checkNotNull(entries[index]) {
        "log entry $index is not in memory, which holds the entries after $baseIndex up to $lastIndex"
    }

    fun range(first: Long, last: Long): List<ConsensusEntry> = (first..last).map(::entry)

    /** Appends [added], which must not be empty, in place of all entries from its first index on. */
    fun append(added: List<ConsensusEntry>): LogTable {
        val first = added.first().index
        require(first in baseIndex + 1..lastIndex + 1) {
            "cannot append log entry $first: it must follow one of the entries $baseIndex to $lastIndex"
        }
        return copy(
            lastIndex = added.last().index,
            entries = entries.mutate { map ->
                for (index in first..lastIndex) map.remove(index)
                added.associateByTo(map) { it.index }
            },
        )
    }

    /** Drops the entries up to [index] from memory. */
    fun dropThrough(index: Long): LogTable =
        if (index <= baseIndex) {
            this
        } else {
            LogTable(
                index,
                entry(index).term,
                lastIndex,
                entries.mutate { map -> for (dropped in baseIndex + 1..index) map.remove(dropped) },
            )
        }
}
