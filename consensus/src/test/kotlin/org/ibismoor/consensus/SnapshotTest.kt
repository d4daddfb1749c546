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

private val SMALL = ConsensusSettings(retainedEntries = 5, snapshotPartCharacters = 7)

/** Cuts one follower off, commits 100 entries and compacts the logs of the others. */
private fun SimulatedGroup.leaveBehind(): ReplicaId {
    val leader = awaitLeader()
    val behind = replicas.keys.first { it != leader }
    isolate(behind)
    repeat(100) { give(leader, ProposalReceived(it.toLong(), "command $it")) }
    runUntil { running().filter { it.id != behind }.all { it.appliedIndex > 100 } }
    running().filter { it.id != behind }.forEach {
        give(it.id, it.snapshot())
        it.compact()
    }
    return behind
}

class SnapshotTest : StringSpec({
    "a follower behind the log gets the snapshot in parts, over a network that loses and repeats messages" {
        val group = SimulatedGroup(31, settings = SMALL)
        val behind = group.leaveBehind()
        group.cuts.clear()
        group.faults = SimulatedFaults(lossPercent = 20, duplicatePercent = 20, maximumDelayMillis = 50)
        group.runUntil { get(behind).appliedIndex == checker.commitIndex }
        val effects = group.effects.map { it.second }
        effects.filterIsInstance<RestoreSnapshot>() shouldHaveSize 1
        val parts = effects.filterIsInstance<SendMessage>().map { it.message }.filterIsInstance<SnapshotPart>()
        parts.size shouldBeGreaterThan 5
        parts.maxOf { it.part.length } shouldBe 7
    }

    "a replica restarts from the installed snapshot" {
        val group = SimulatedGroup(32, settings = SMALL)
        val behind = group.leaveBehind()
        group.cuts.clear()
        group.runUntil { get(behind).appliedIndex == checker.commitIndex }
        group.get(behind).kill()
        group.start(behind)
        group.get(behind).appliedIndex shouldBe group.checker.commitIndex
    }

    "compacted records restore the same replica" {
        val group = SimulatedGroup(33, settings = SMALL)
        val behind = group.leaveBehind()
        val tables = group.tables(group.leader())
        group.give(tables.self, ProposalReceived(1, "not in the snapshot"))
        val before = group.tables(tables.self)
        val after = restoreConsensus(tables.self, compactRecords(before), 1, Timestamp(0)).tables
        listOf(after.term, after.votedFor, after.commitIndex, after.log.lastIndex, after.log.lastTerm) shouldBe
            listOf(before.term, before.votedFor, before.commitIndex, before.log.lastIndex, before.log.lastTerm)
        after.status().members shouldBe before.status().members
        after.status().snapshotIndex shouldBe before.status().snapshotIndex
        group.tables(behind).status().snapshotIndex shouldBe 0
    }

    "records after compaction do not grow with the history" {
        val group = SimulatedGroup(34, settings = SMALL)
        val leader = group.awaitLeader()
        val sizes = (1..5).map {
            repeat(100) { group.give(leader, ProposalReceived(it.toLong(), "x")) }
            group.run(50)
            group.give(leader, group.get(leader).snapshot())
            compactRecords(group.tables(leader)).filterIsInstance<EntriesRecord>().size
        }
        sizes.toSet() shouldBe setOf(0)
    }
})
