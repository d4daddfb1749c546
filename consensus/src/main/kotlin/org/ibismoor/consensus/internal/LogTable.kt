/**
 * The suffix of the log in memory: the entries after [LogTable.baseIndex]. Appending, truncating and dropping cost time
 * in proportion to the entries that change. Limits of memory are in characters, since entries differ in size by a
 * factor of a million.
 */
package org.ibismoor.consensus.internal

import kotlinx.collections.immutable.PersistentMap
import kotlinx.collections.immutable.mutate
import kotlinx.collections.immutable.persistentHashMapOf
import org.ibismoor.consensus.api.CommandContent
import org.ibismoor.consensus.api.ConsensusEntry
import org.ibismoor.consensus.api.LeaderContent
import org.ibismoor.consensus.api.MembersContent

internal data class LogTable(
    /** Index and term of the last entry before the suffix. */
    val baseIndex: Long = 0,
    val baseTerm: Long = 0,
    val lastIndex: Long = 0,
    private val rows: PersistentMap<Long, LogRow> = persistentHashMapOf(),
    private val baseCharacters: Long = 0,
) {
    val lastTerm: Long get() = checkNotNull(termAt(lastIndex))

    /** Term of the entry at [index], or null if that entry is neither in memory nor the last one before. */
    fun termAt(index: Long): Long? = if (index == baseIndex) baseTerm else rows[index]?.entry?.term

    fun entry(index: Long): ConsensusEntry = row(index).entry

    private fun row(index: Long): LogRow = checkNotNull(rows[index]) {
        "log entry $index is not in memory, which holds the entries after $baseIndex up to $lastIndex"
    }

    fun range(first: Long, last: Long): List<ConsensusEntry> = (first..last).map(::entry)

    /** Payload characters of the entries after [index]; those before the suffix are left out. */
    fun charactersAfter(index: Long): Long = charactersThrough(lastIndex) - charactersThrough(index)

    /** Payload characters of the entries after [index] up to [last]; those before the suffix are left out. */
    fun charactersBetween(index: Long, last: Long): Long = charactersThrough(last) - charactersThrough(index)

    private fun charactersThrough(index: Long): Long =
        if (index <= baseIndex) baseCharacters else row(index).charactersThrough

    /** Appends [added], which must not be empty, in place of all entries from its first index on. */
    fun append(added: List<ConsensusEntry>): LogTable {
        val first = added.first().index
        require(first in baseIndex + 1..lastIndex + 1) {
            "cannot append log entry $first: it must follow one of the entries $baseIndex to $lastIndex"
        }
        var characters = charactersThrough(first - 1)
        return copy(
            lastIndex = added.last().index,
            rows = rows.mutate { map ->
                for (index in first..lastIndex) map.remove(index)
                added.forEach { entry ->
                    characters += entry.payloadCharacters
                    map[entry.index] = LogRow(entry, characters)
                }
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
                rows.mutate { map -> for (dropped in baseIndex + 1..index) map.remove(dropped) },
                charactersThrough(index),
            )
        }
}

/** An entry, and the payload characters of the log up to it. */
internal data class LogRow(val entry: ConsensusEntry, val charactersThrough: Long)

internal val ConsensusEntry.payloadCharacters: Int
    get() = when (content) {
        is CommandContent -> content.payload.length
        is MembersContent, is LeaderContent -> 0
    }
