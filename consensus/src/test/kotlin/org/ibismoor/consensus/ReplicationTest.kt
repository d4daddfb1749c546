package org.ibismoor.consensus

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import org.ibismoor.consensus.api.CommandContent
import org.ibismoor.consensus.api.ConfirmReadIndex
import org.ibismoor.consensus.api.ConsensusSettings
import org.ibismoor.consensus.api.ProposalReceived
import org.ibismoor.consensus.api.ProposalRefusal
import org.ibismoor.consensus.api.RefuseProposal
import org.ibismoor.consensus.api.restoreConsensus
import org.ibismoor.core.api.Timestamp

private fun SimulatedGroup.commitCommands(count: Int) {
    val leader = awaitLeader()
    repeat(count) { submit(leader, ProposalReceived(it.toLong(), "command-$it")) }
    val last = tables(leader).log.lastIndex
    runUntil { runningReplicas().all { it.appliedIndex >= last } }
}

class ReplicationTest : StringSpec({
    "a proposal is applied once and in order by every replica" {
        val group = SimulatedGroup(11)
        group.commitCommands(500)
        group.replicas.keys.map { id -> group.get(id).appliedIndex }.toSet().size shouldBe 1
    }

    "a killed replica restores what it applied and catches up" {
        val group = SimulatedGroup(12)
        group.commitCommands(50)
        val follower = group.replicas.keys.first { it != group.leader() }
        val applied = group.get(follower).appliedIndex
        group.get(follower).kill()
        group.commitCommands(50)
        group.start(follower)
        group.get(follower).appliedIndex shouldBe applied
        group.runUntil { get(follower).appliedIndex == checker.commitIndex }
    }

    "restore returns the committed entries after the snapshot, which are not delivered again" {
        val group = SimulatedGroup(13)
        group.commitCommands(20)
        val replica = group.get(A)
        val restored = restoreConsensus(A, replica.records, 1, Timestamp(0))
        restored.snapshot shouldBe null
        restored.committed.last().content shouldBe CommandContent("command-19")
        restored.tables.deliveredIndex shouldBe replica.appliedIndex
    }

    "a follower refuses a proposal and names the leader" {
        val group = SimulatedGroup(14)
        val leader = group.awaitLeader()
        group.run(200)
        val follower = group.replicas.keys.first { it != leader }
        group.submit(follower, ProposalReceived(7, "x"))
        group.effects shouldContain (follower to RefuseProposal(7, leader))
    }

    "a proposal to a leader that loses its quorum is refused with an unknown outcome" {
        val group = SimulatedGroup(15)
        val leader = group.awaitLeader()
        group.isolate(leader)
        group.submit(leader, ProposalReceived(7, "x"))
        group.run(3_000)
        group.effects shouldContain (leader to RefuseProposal(7, null, ProposalRefusal.OUTCOME_UNKNOWN))
    }

    "a proposal larger than the limit is refused before it is appended" {
        val group = SimulatedGroup(16)
        val leader = group.awaitLeader()
        group.submit(leader, ProposalReceived(7, "x".repeat(ConsensusSettings.MAXIMUM_PAYLOAD_CHARACTERS + 1)))
        group.effects shouldContain (leader to RefuseProposal(7, leader, ProposalRefusal.TOO_LARGE))
    }

    "a read is confirmed by a quorum and not by an isolated leader" {
        val group = SimulatedGroup(17)
        group.commitCommands(3)
        val leader = group.leader()
        val read = group.requestRead(leader)
        group.run(50)
        group.effects shouldContain (leader to ConfirmReadIndex(read, group.checker.commitIndex))
        group.isolate(leader)
        group.requestRead(leader)
        group.run(3_000)
        group.effects.map { it.second }.filterIsInstance<ConfirmReadIndex>().map { it.read } shouldBe listOf(read)
        group.leader() shouldNotBe leader
    }
})
