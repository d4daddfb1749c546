/**
 * Entries that hold whole configurations are bounded by their size wherever the log keeps or sends many of them.
 */
package org.ibismoor.consensus

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import org.ibismoor.consensus.api.AppendEntries
import org.ibismoor.consensus.api.CommandContent
import org.ibismoor.consensus.api.ConsensusEntry
import org.ibismoor.consensus.api.ConsensusSettings
import org.ibismoor.consensus.api.ProposalReceived
import org.ibismoor.consensus.api.ProposalRefusal
import org.ibismoor.consensus.api.RefuseProposal
import org.ibismoor.consensus.api.SendMessage
import org.ibismoor.core.api.ReplicaId

private const val DOCUMENT_CHARACTERS = 350_000
private const val DOCUMENTS = 60

class LargeEntriesTest : StringSpec({
    "entries kept after a snapshot are bounded by their size, and a replica that lags by more catches up" {
        // Guards against hundreds of changes of a large configuration that every replica of the group keeps in memory.
        val group = SimulatedGroup(41)
        val leader = group.awaitLeader()
        val lagging = group.replicas.keys.first { it != leader }
        group.get(lagging).kill()
        group.submitDocuments(leader)
        group.runUntil { get(leader).appliedIndex == tables(leader).log.lastIndex }
        group.submit(leader, group.get(leader).takeSnapshot())
        val log = group.tables(leader).log
        characters(log.range(log.baseIndex + 1, log.lastIndex)) shouldBeInRange
            DOCUMENT_CHARACTERS..ConsensusSettings.RETAINED_CHARACTERS
        group.start(lagging)
        group.runUntil { get(lagging).appliedIndex == checker.commitIndex }
    }

    "a peer that does not answer is sent a bounded size of entries" {
        // Guards against a queue of messages to a frozen peer that holds entries which the log has dropped.
        val group = SimulatedGroup(42)
        val leader = group.awaitLeader()
        val silent = group.replicas.keys.first { it != leader }
        group.isolate(silent)
        group.submitDocuments(leader)
        group.run(500)
        group.charactersSentTo(silent) shouldBeLessThanOrEqual
            ConsensusSettings.MAXIMUM_UNACKNOWLEDGED_CHARACTERS + DOCUMENT_CHARACTERS
    }

    "a leader without a quorum refuses proposals beyond the permitted size" {
        // Guards against uncommitted entries that no snapshot can replace.
        val group = SimulatedGroup(43)
        val leader = group.awaitLeader()
        group.isolate(leader)
        group.submitDocuments(leader)
        val log = group.tables(leader).log
        characters(log.range(group.tables(leader).commitIndex + 1, log.lastIndex)) shouldBeLessThanOrEqual
            ConsensusSettings.MAXIMUM_PENDING_CHARACTERS
        group.effects shouldContain
            (leader to RefuseProposal(DOCUMENTS - 1L, leader, ProposalRefusal.TOO_MANY_PENDING))
    }
})

private fun SimulatedGroup.submitDocuments(leader: ReplicaId) = repeat(DOCUMENTS) {
    submit(leader, ProposalReceived(it.toLong(), "x".repeat(DOCUMENT_CHARACTERS)))
    if (brokenLinks.isEmpty()) run(10)
}

private fun SimulatedGroup.charactersSentTo(peer: ReplicaId): Long =
    effects.map { it.second }.filterIsInstance<SendMessage>().filter { it.to == peer }
        .sumOf { sent -> (sent.message as? AppendEntries)?.let { characters(it.entries) } ?: 0 }

private fun characters(entries: List<ConsensusEntry>): Long =
    entries.sumOf { (it.content as? CommandContent)?.payload?.length?.toLong() ?: 0 }
