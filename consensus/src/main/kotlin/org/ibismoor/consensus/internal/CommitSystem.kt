/**
 * Advances the commit index of a leader, persists it, and then delivers the committed entries and confirms reads.
 */
package org.ibismoor.consensus.internal

import kotlinx.collections.immutable.toPersistentList
import org.ibismoor.consensus.api.CommitRecord
import org.ibismoor.consensus.api.ConfirmReadIndex
import org.ibismoor.consensus.api.ConsensusInput
import org.ibismoor.consensus.api.ConsensusSettings
import org.ibismoor.consensus.api.ConsensusTables
import org.ibismoor.consensus.api.DeliverCommittedEntries
import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick

internal class CommitSystem(private val settings: ConsensusSettings) : ConsensusSystem {
    override fun run(tables: ConsensusTables, tick: Tick<ConsensusInput>): ConsensusStep =
        deliverEntries(advanceCommitIndex(tables)).then(::confirmReads)

    /**
     * An entry of an earlier term commits only together with an entry of the current term. Until then a later leader
     * could replace it although a majority holds it.
     */
    private fun advanceCommitIndex(tables: ConsensusTables): ConsensusTables {
        val leadership = tables.leadership ?: return tables
        val majorityIndex = tables.quorumValue { replica ->
            if (replica == tables.self) tables.log.lastIndex else leadership.peers[replica]?.matchIndex ?: 0
        } ?: 0
        val isOwnTerm = majorityIndex >= leadership.firstIndex || !settings.isEnforced(SafetyRule.COMMIT_OWN_TERM)
        return if (majorityIndex > tables.commitIndex && isOwnTerm) {
            tables.copy(commitIndex = majorityIndex).withImmediateHeartbeat()
        } else {
            tables
        }
    }

    private fun deliverEntries(tables: ConsensusTables): ConsensusStep =
        if (tables.commitIndex <= tables.deliveredIndex) {
            Step(tables)
        } else {
            val entries = tables.log.range(tables.deliveredIndex + 1, tables.commitIndex)
            val leadership = tables.leadership?.let { row ->
                row.copy(proposals = entries.fold(row.proposals) { pending, entry -> pending.remove(entry.index) })
            }
            Step(
                tables.copy(deliveredIndex = tables.commitIndex, leadership = leadership),
                listOf(persist(CommitRecord(tables.commitIndex)), DeliverCommittedEntries(entries)),
            )
        }

    /** The commit index of a leader covers all committed entries only after it has committed one of its own term. */
    private fun confirmReads(tables: ConsensusTables): ConsensusStep {
        val leadership = tables.leadership
        return if (leadership == null || leadership.reads.isEmpty() || tables.commitIndex < leadership.firstIndex) {
            Step(tables)
        } else {
            val round = tables.quorumValue { replica ->
                if (replica == tables.self) Long.MAX_VALUE else leadership.peers[replica]?.round ?: 0
            } ?: 0
            val (confirmed, pending) = leadership.reads.partition { it.round <= round }
            val answers = confirmed.map { ConfirmReadIndex(it.read, tables.commitIndex) }
            Step(tables.copy(leadership = leadership.copy(reads = pending.toPersistentList())), answers)
        }
    }
}
