package org.ibismoor.consensus

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import org.ibismoor.consensus.api.ConsensusSettings
import org.ibismoor.consensus.api.EntriesRecord
import org.ibismoor.consensus.api.ProposalReceived
import org.ibismoor.consensus.api.RestoreSnapshot
import org.ibismoor.consensus.api.SendMessage
import org.ibismoor.consensus.api.SnapshotPart
import org.ibismoor.consensus.api.compactRecords
import org.ibismoor.consensus.api.restoreConsensus
import org.ibismoor.consensus.api.status
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.Timestamp

private val SMALL_PARTS = ConsensusSettings(retainedEntries = 5, snapshotPartCharacters = 7)

/** Isolates one follower, commits 100 entries and compacts the logs of the other replicas. */
private fun SimulatedGroup.isolateFollowerAndCompact(): ReplicaId {
    val leader = awaitLeader()
    val lagging = replicas.keys.first { it != leader }
    isolate(lagging)
    repeat(100) { submit(leader, ProposalReceived(it.toLong(), "command $it")) }
    runUntil { runningReplicas().filter { it.id != lagging }.all { it.appliedIndex > 100 } }
    runningReplicas().filter { it.id != lagging }.forEach {
        submit(it.id, it.takeSnapshot())
        it.compact()
    }
    return lagging
}

class SnapshotTest : StringSpec({
    "a lagging follower receives the snapshot in parts although messages are lost and duplicated" {
        val group = SimulatedGroup(31, settings = SMALL_PARTS)
        val lagging = group.isolateFollowerAndCompact()
        group.brokenLinks.clear()
        group.faults = SimulatedFaults(lossPercent = 20, duplicatePercent = 20, maximumDelayMillis = 50)
        group.runUntil { get(lagging).appliedIndex == checker.commitIndex }
        val effects = group.effects.map { it.second }
        effects.filterIsInstance<RestoreSnapshot>() shouldHaveSize 1
        val parts = effects.filterIsInstance<SendMessage>().map { it.message }.filterIsInstance<SnapshotPart>()
        parts.size shouldBeGreaterThan 5
        parts.maxOf { it.part.length } shouldBe 7
    }

    "a replica restarts from the installed snapshot" {
        val group = SimulatedGroup(32, settings = SMALL_PARTS)
        val lagging = group.isolateFollowerAndCompact()
        group.brokenLinks.clear()
        group.runUntil { get(lagging).appliedIndex == checker.commitIndex }
        group.get(lagging).kill()
        group.start(lagging)
        group.get(lagging).appliedIndex shouldBe group.checker.commitIndex
    }

    "compacted records restore the same replica" {
        val group = SimulatedGroup(33, settings = SMALL_PARTS)
        val lagging = group.isolateFollowerAndCompact()
        val tables = group.tables(group.leader())
        group.submit(tables.self, ProposalReceived(1, "not in the snapshot"))
        val before = group.tables(tables.self)
        val after = restoreConsensus(tables.self, compactRecords(before), 1, Timestamp(0)).tables
        listOf(after.term, after.votedFor, after.commitIndex, after.log.lastIndex, after.log.lastTerm) shouldBe
            listOf(before.term, before.votedFor, before.commitIndex, before.log.lastIndex, before.log.lastTerm)
        after.status().members shouldBe before.status().members
        after.status().snapshotIndex shouldBe before.status().snapshotIndex
        group.tables(lagging).status().snapshotIndex shouldBe 0
    }

    "the number of records after compaction does not grow with the length of the log" {
        val group = SimulatedGroup(34, settings = SMALL_PARTS)
        val leader = group.awaitLeader()
        val sizes = (1..5).map {
            repeat(100) { group.submit(leader, ProposalReceived(it.toLong(), "x")) }
            group.run(50)
            group.submit(leader, group.get(leader).takeSnapshot())
            compactRecords(group.tables(leader)).filterIsInstance<EntriesRecord>().size
        }
        sizes.toSet() shouldBe setOf(0)
    }
})
