/**
 * Appends entries from the leader. Entries up to the commit index are the same at every later leader, so they are never
 * compared or replaced.
 */
package org.ibismoor.consensus.internal

import org.ibismoor.consensus.api.AppendEntries
import org.ibismoor.consensus.api.ConsensusEntry
import org.ibismoor.consensus.api.ConsensusTables
import org.ibismoor.consensus.api.EntriesAppended
import org.ibismoor.consensus.api.EntriesRecord
import org.ibismoor.consensus.api.SendMessage
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.Step

internal class LogReceiver {
    fun receiveEntries(tables: ConsensusTables, from: ReplicaId, message: AppendEntries): ConsensusStep =
        when {
            message.term < tables.term -> reply(tables, from, message, matchIndex = null)
            tables.leadership != null || !isContiguous(message) -> Step(tables)
            !isMatch(tables, message) -> reply(tables, from, message, matchIndex = null)
            else -> appendNewEntries(tables, from, message)
        }

    private fun isContiguous(message: AppendEntries): Boolean =
        message.previousIndex >= 0 &&
            message.entries.withIndex().all { (offset, entry) -> entry.index == message.previousIndex + 1 + offset }

    private fun isMatch(tables: ConsensusTables, message: AppendEntries): Boolean =
        message.previousIndex <= tables.commitIndex ||
            tables.log.termAt(message.previousIndex) == message.previousTerm

    private fun appendNewEntries(tables: ConsensusTables, from: ReplicaId, message: AppendEntries): ConsensusStep {
        val added = message.entries.dropWhile { hasEntry(tables, it) }
        val step = if (added.isEmpty()) {
            Step(tables)
        } else {
            Step(tables.append(added), listOf(persist(EntriesRecord(added))))
        }
        val last = message.previousIndex + message.entries.size
        val commit = maxOf(tables.commitIndex, minOf(message.commitIndex, last))
        return step.then { reply(it.copy(commitIndex = commit), from, message, maxOf(last, commit)) }
    }

    private fun hasEntry(tables: ConsensusTables, entry: ConsensusEntry): Boolean =
        entry.index <= tables.commitIndex || tables.log.termAt(entry.index) == entry.term

    /**
     * Without a [matchIndex], the answer gives the index after which the leader should retry: the end of the log if
     * the log is too short, else the commit index.
     */
    private fun reply(
        tables: ConsensusTables,
        to: ReplicaId,
        message: AppendEntries,
        matchIndex: Long?,
    ): ConsensusStep {
        val last = tables.log.lastIndex
        val hint = if (last < message.previousIndex) last else tables.commitIndex
        val answer = EntriesAppended(tables.term, matchIndex != null, matchIndex ?: hint, message.round)
        return Step(tables, listOf(SendMessage(to, answer)))
    }
}
