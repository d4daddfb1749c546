/**
 * Checks the safety properties of the replicated log over all replicas of a simulated group. Each violation throws
 * [SafetyViolation].
 */
package org.ibismoor.consensus

import org.ibismoor.consensus.api.ConsensusEntry
import org.ibismoor.consensus.api.ConsensusTables
import org.ibismoor.core.api.ReplicaId

internal class SafetyViolation(message: String) : Exception(message)

internal class SafetyChecker {
    private val leaders = mutableMapOf<Long, ReplicaId>()
    private val written = mutableMapOf<Pair<Long, Long>, Pair<ConsensusEntry, Long>>()
    private val chain = mutableListOf(0L)
    private val committed = mutableListOf<ConsensusEntry>()
    private val committedIn = mutableListOf<Long>()

    val commitIndex: Long get() = committed.size.toLong()

    /**
     * Election safety, and leader completeness when a leader is first seen: it holds every entry that was committed in
     * an earlier term. A frozen candidate may wake and lead an old term that it won, without later entries.
     */
    fun checkLeader(tables: ConsensusTables) {
        if (tables.leadership == null || leaders[tables.term] == tables.self) return
        val other = leaders.put(tables.term, tables.self)
        ensure(other == null) { "two leaders in term ${tables.term}: $other and ${tables.self}" }
        val log = tables.log
        val lost = committed.zip(committedIn).firstOrNull { (entry, term) ->
            term < tables.term && entry.index > log.beforeIndex && log.termAt(entry.index) != entry.term
        }
        ensure(lost == null) { "${tables.self} leads term ${tables.term} without the committed entry $lost" }
    }

    /** Log matching: an index and term determine the entry and the term of the entry before it. */
    fun checkWritten(entries: List<ConsensusEntry>, termBefore: Long) {
        var before = termBefore
        entries.forEach { entry ->
            val known = written.getOrPut(entry.index to entry.term) { entry to before }
            ensure(known == entry to before) { "logs do not match at $entry: $known" }
            before = entry.term
        }
    }

    /** State machine safety. Returns the digest of all entries up to the last of [entries]. */
    fun checkApplied(replica: ReplicaId, term: Long, entries: List<ConsensusEntry>): Long {
        entries.forEach { entry ->
            ensure(entry.index <= commitIndex + 1) { "$replica applies entry ${entry.index} too early" }
            if (entry.index == commitIndex + 1) {
                committed += entry
                committedIn += term
                chain += chain.last() * 31 + entry.hashCode()
            }
            val known = committed[entry.index.toInt() - 1]
            ensure(known == entry) { "$replica applies $entry, but $known was applied elsewhere" }
        }
        return digest(entries.last().index)
    }

    fun digest(index: Long): Long = chain[index.toInt()]

    fun ensure(isSafe: Boolean, message: () -> String) {
        if (!isSafe) throw SafetyViolation(message())
    }
}
