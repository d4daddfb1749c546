/**
 * One replica of a simulated group: its durable records, its tables while it runs, and an application state that is the
 * digest of the applied entries.
 */
package org.ibismoor.consensus

import org.ibismoor.consensus.api.ConsensusEntry
import org.ibismoor.consensus.api.ConsensusInput
import org.ibismoor.consensus.api.ConsensusRecord
import org.ibismoor.consensus.api.ConsensusTables
import org.ibismoor.consensus.api.EntriesRecord
import org.ibismoor.consensus.api.RestoreSnapshot
import org.ibismoor.consensus.api.SnapshotTaken
import org.ibismoor.consensus.api.compactRecords
import org.ibismoor.consensus.api.restoreConsensus
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.Timestamp

internal class SimulatedReplica(val id: ReplicaId, private val checker: SafetyChecker) {
    var records: List<ConsensusRecord> = emptyList()
    var tables: ConsensusTables? = null
        private set
    var isFrozen = false
    var appliedIndex = 0L
        private set
    private var digest = 0L
    private var highestApplied = 0L
    val inbox = mutableListOf<ConsensusInput>()

    /** Replaces the tables, and checks the leadership and the appended entries. */
    fun recordStep(next: ConsensusTables, appended: List<EntriesRecord>) {
        tables = next
        checker.checkLeader(next)
        appended.forEach { record ->
            next.log.termAt(record.entries.first().index - 1)?.let { checker.checkAppended(record.entries, it) }
        }
    }

    fun start(now: Timestamp, seed: Long) {
        val restored = restoreConsensus(id, records, seed, now)
        tables = restored.tables
        isFrozen = false
        appliedIndex = 0
        digest = 0
        val before = highestApplied
        restored.snapshot?.let(::restore)
        apply(restored.committed)
        checker.ensure(appliedIndex >= before) {
            "$id restored only entries up to $appliedIndex after a restart, but had applied entry $before"
        }
    }

    fun kill() {
        tables = null
        inbox.clear()
    }

    fun apply(entries: List<ConsensusEntry>) {
        if (entries.isEmpty()) return
        val first = entries.first()
        checker.ensure(first.index == appliedIndex + 1) { "$id applies $first, but its last entry is $appliedIndex" }
        digest = checker.checkApplied(id, checkNotNull(tables).term, entries)
        appliedIndex = entries.last().index
        highestApplied = maxOf(highestApplied, appliedIndex)
    }

    fun restore(snapshot: RestoreSnapshot) {
        checker.ensure(snapshot.index >= appliedIndex) {
            "$id restores a snapshot of ${snapshot.index}, but has applied entry $appliedIndex"
        }
        val isExpected = snapshot.payload == payload(snapshot.index, checker.digest(snapshot.index))
        checker.ensure(isExpected) { "$id restores a wrong snapshot of ${snapshot.index}" }
        appliedIndex = snapshot.index
        digest = checker.digest(snapshot.index)
    }

    fun takeSnapshot(): SnapshotTaken = SnapshotTaken(appliedIndex, payload(appliedIndex, digest))

    fun compact() {
        tables?.let { records = compactRecords(it) }
    }

    private fun payload(index: Long, digest: Long): String = "$index:$digest:" + "x".repeat(PADDING_CHARACTERS)

    private companion object {
        /** Makes the snapshot exceed one part in tests with small parts. */
        const val PADDING_CHARACTERS = 50
    }
}
