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
    private val appended = mutableMapOf<Pair<Long, Long>, Pair<ConsensusEntry, Long>>()
    private val digests = mutableListOf(0L)
    private val committed = mutableListOf<ConsensusEntry>()
    private val commitTerms = mutableListOf<Long>()

    val commitIndex: Long get() = committed.size.toLong()

    /**
     * Checks election safety and, when a leader appears, leader completeness: it holds every entry committed in an
     * earlier term. Entries of later terms do not count, because a frozen candidate may resume and lead an old term
     * that it has won.
     */
    fun checkLeader(tables: ConsensusTables) {
        if (tables.leadership == null || leaders[tables.term] == tables.self) return
        val other = leaders.put(tables.term, tables.self)
        ensure(other == null) { "two leaders in term ${tables.term}: $other and ${tables.self}" }
        val log = tables.log
        val lost = committed.zip(commitTerms).firstOrNull { (entry, term) ->
            term < tables.term && entry.index > log.baseIndex && log.termAt(entry.index) != entry.term
        }
        ensure(lost == null) { "${tables.self} leads term ${tables.term} without the committed entry $lost" }
    }

    /** Checks log matching: an index and a term determine the entry and the term of the entry before it. */
    fun checkAppended(entries: List<ConsensusEntry>, termBefore: Long) {
        var before = termBefore
        entries.forEach { entry ->
            val known = appended.getOrPut(entry.index to entry.term) { entry to before }
            ensure(known == entry to before) { "logs differ at $entry: another replica appended $known" }
            before = entry.term
        }
    }

    /** Checks state machine safety, and returns the digest of all entries up to the last of [entries]. */
    fun checkApplied(replica: ReplicaId, term: Long, entries: List<ConsensusEntry>): Long {
        entries.forEach { entry ->
            ensure(entry.index <= commitIndex + 1) { "$replica applies entry ${entry.index} before ${commitIndex + 1}" }
            if (entry.index == commitIndex + 1) {
                committed += entry
                commitTerms += term
                digests += digests.last() * 31 + entry.hashCode()
            }
            val known = committed[entry.index.toInt() - 1]
            ensure(known == entry) { "$replica applies $entry, but another replica applied $known" }
        }
        return digest(entries.last().index)
    }

    fun digest(index: Long): Long = digests[index.toInt()]

    fun ensure(isSafe: Boolean, message: () -> String) {
        if (!isSafe) throw SafetyViolation(message())
    }
}
