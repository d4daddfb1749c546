/**
 * The suffix of the log that is held in memory: entries after [beforeIndex]. Append, truncation and dropping cost in
 * proportion to the entries that change.
 */
package org.ibismoor.consensus.internal

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentHashMapOf
import org.ibismoor.consensus.api.ConsensusEntry

internal data class LogTable(
    /** Index and term of the last entry before the suffix. */
    val beforeIndex: Long = 0,
    val beforeTerm: Long = 0,
    val lastIndex: Long = 0,
    private val entries: PersistentMap<Long, ConsensusEntry> = persistentHashMapOf(),
) {
    val lastTerm: Long get() = checkNotNull(termAt(lastIndex))

    /** Term of the entry at [index]; null if it is not in memory. */
    fun termAt(index: Long): Long? = if (index == beforeIndex) beforeTerm else entries[index]?.term

    fun entry(index: Long): ConsensusEntry = checkNotNull(entries[index]) { "log entry $index is not in memory" }

    fun range(first: Long, last: Long): List<ConsensusEntry> = (first..last).map(::entry)

    /** Removes the entries at and after the first index of [added] and appends [added], which is not empty. */
    fun append(added: List<ConsensusEntry>): LogTable {
        val first = added.first().index
        require(first in beforeIndex + 1..lastIndex + 1) { "entry $first does not follow entry $lastIndex" }
        return copy(
            lastIndex = added.last().index,
            entries = entries.mutate { map ->
                for (index in first..lastIndex) map.remove(index)
                added.associateByTo(map) { it.index }
            },
        )
    }

    /** Drops the entries up to [index] from memory. */
    fun dropTo(index: Long): LogTable =
        if (index <= beforeIndex) {
            this
        } else {
            LogTable(
                index,
                entry(index).term,
                lastIndex,
                entries.mutate { map -> for (dropped in beforeIndex + 1..index) map.remove(dropped) },
            )
        }
}
