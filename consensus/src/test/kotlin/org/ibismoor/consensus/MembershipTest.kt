package org.ibismoor.consensus

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.collections.shouldContainExactlyInAnyOrder
import io.kotest.matchers.shouldBe
import org.ibismoor.consensus.api.ConsensusRole
import org.ibismoor.consensus.api.ConsensusSettings
import org.ibismoor.consensus.api.DeliverCommittedEntries
import org.ibismoor.consensus.api.MembersContent
import org.ibismoor.consensus.api.MembershipRequested
import org.ibismoor.consensus.api.ProposalReceived
import org.ibismoor.consensus.api.status
import org.ibismoor.consensus.internal.SafetyRule
import org.ibismoor.core.api.ReplicaId

private fun SimulatedGroup.voters(): List<ReplicaId> =
    tables(leader()).status().members.filter { it.isVoter }.map { it.replica }

private fun SimulatedGroup.changeMembersTo(vararg target: ReplicaId) = runUntil {
    replicas.values.filter { it.tables != null }.forEach { submit(it.id, MembershipRequested(target.toList())) }
    val isLed = leaders().isNotEmpty()
    isLed && voters().toSet() == target.toSet() && tables(leader()).status().members.size == target.size
}

private fun SimulatedGroup.committedMemberships(id: ReplicaId): List<String> =
    effects.filter { it.first == id }.map { it.second }.filterIsInstance<DeliverCommittedEntries>()
        .flatMap { it.entries }.mapNotNull { (it.content as? MembersContent)?.members }
        .map { members -> members.joinToString(" ") { if (it.isVoter) "${it.replica}" else "(${it.replica})" } }

class MembershipTest : StringSpec({
    "a lost voter is replaced: a learner is added, the lost voter is removed, then the learner is promoted" {
        val group = SimulatedGroup(21)
        val leader = group.awaitLeader()
        val (lost, other) = group.replicas.keys.filter { it != leader }
        group.replicas.remove(lost)
        val next = lost.copy(epoch = 2)
        group.add(next, emptyList())
        group.run(2_000)
        group.changeMembersTo(leader, other, next)
        group.run(500)
        group.committedMemberships(leader) shouldContainExactly listOf(
            listOf("$A", "$B", "$C", "($next)"),
            listOf(A, B, C).filter { it != lost }.map { "$it" } + "($next)",
            listOf(A, B, C).filter { it != lost }.map { "$it" } + "$next",
        ).map { it.joinToString(" ") }
        group.get(other).kill()
        group.submit(leader, ProposalReceived(1, "after the loss of a second member"))
        group.runUntil { get(next).appliedIndex == checker.commitIndex && checker.commitIndex > 5 }
    }

    "an unreachable learner is not promoted, and the group commits without it" {
        val group = SimulatedGroup(22)
        val leader = group.awaitLeader()
        val added = replica("d")
        group.add(added, emptyList())
        group.isolate(added)
        group.submit(leader, MembershipRequested(listOf(A, B, C, added)))
        group.submit(leader, ProposalReceived(1, "x"))
        group.run(5_000)
        group.voters() shouldContainExactlyInAnyOrder listOf(A, B, C)
        group.tables(leader).status().members.size shouldBe 4
        group.tables(leader).status().let { it.commitIndex shouldBe it.lastIndex }
        group.brokenLinks.clear()
        group.changeMembersTo(A, B, C, added)
        group.run(200)
        group.tables(added).status().role shouldBe ConsensusRole.FOLLOWER
    }

    "an unreachable learner is promoted when the promotion rule is disabled" {
        val settings = ConsensusSettings().copy(disabledRules = setOf(SafetyRule.PROMOTE_COMPLETE_LEARNER))
        val group = SimulatedGroup(22, settings = settings)
        val leader = group.awaitLeader()
        group.submit(leader, MembershipRequested(listOf(A, B, C, replica("d"))))
        group.run(1_000)
        group.voters() shouldContainExactlyInAnyOrder listOf(A, B, C, replica("d"))
    }

    "a leader that is to be removed transfers leadership, and its successor removes it" {
        val group = SimulatedGroup(23)
        val leader = group.awaitLeader()
        val rest = listOf(A, B, C) - leader
        group.changeMembersTo(*rest.toTypedArray())
        group.leader().let { it in rest } shouldBe true
    }

    "a removed member that keeps running changes neither leader nor term" {
        val group = SimulatedGroup(24)
        val leader = group.awaitLeader()
        val removed = listOf(A, B, C).first { it != leader }
        group.changeMembersTo(*(listOf(A, B, C) - removed).toTypedArray())
        val term = group.tables(leader).term
        group.run(20_000)
        group.leader() shouldBe leader
        group.tables(leader).term shouldBe term
    }

    "a group is replaced by entirely new members" {
        val group = SimulatedGroup(25)
        group.awaitLeader()
        val next = listOf(A, B, C).map { it.copy(epoch = 2) }
        next.forEach { group.add(it, emptyList()) }
        group.changeMembersTo(*next.toTypedArray())
        group.submit(group.leader(), ProposalReceived(1, "x"))
        group.runUntil { next.all { get(it).appliedIndex == checker.commitIndex } }
    }
})
