/**
 * Advances the commit index of a leader, persists it, and then emits the committed entries and confirmed reads.
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
        emit(advance(tables)).then(::confirmReads)

    /** An entry of an earlier term commits only with one of the own term, since a later leader could replace it. */
    private fun advance(tables: ConsensusTables): ConsensusTables {
        val leadership = tables.leadership ?: return tables
        val held = tables.quorumValue { replica ->
            if (replica == tables.self) tables.log.lastIndex else leadership.peers[replica]?.matchIndex ?: 0
        } ?: 0
        val isOwnTerm = held >= leadership.firstIndex || !settings.isEnforced(SafetyRule.COMMIT_OWN_TERM)
        return if (held > tables.commitIndex && isOwnTerm) {
            tables.copy(commitIndex = held).hurryHeartbeat()
        } else {
            tables
        }
    }

    private fun emit(tables: ConsensusTables): ConsensusStep =
        if (tables.commitIndex <= tables.emittedIndex) {
            Step(tables)
        } else {
            val entries = tables.log.range(tables.emittedIndex + 1, tables.commitIndex)
            val leadership = tables.leadership?.let { row ->
                row.copy(proposals = entries.fold(row.proposals) { open, entry -> open.remove(entry.index) })
            }
            Step(
                tables.copy(emittedIndex = tables.commitIndex, leadership = leadership),
                listOf(persist(CommitRecord(tables.commitIndex)), DeliverCommittedEntries(entries)),
            )
        }

    /** A leader knows every committed entry only after an entry of its own term is committed. */
    private fun confirmReads(tables: ConsensusTables): ConsensusStep {
        val leadership = tables.leadership
        return if (leadership == null || leadership.reads.isEmpty() || tables.commitIndex < leadership.firstIndex) {
            Step(tables)
        } else {
            val round = tables.quorumValue { replica ->
                if (replica == tables.self) Long.MAX_VALUE else leadership.peers[replica]?.round ?: 0
            } ?: 0
            val (confirmed, open) = leadership.reads.partition { it.round <= round }
            val answers = confirmed.map { ConfirmReadIndex(it.read, tables.commitIndex) }
            Step(tables.copy(leadership = leadership.copy(reads = open.toPersistentList())), answers)
        }
    }
}
