/**
 * Cuts the log at a snapshot of the state machine above, and moves snapshots to peers whose next entry is no longer
 * in the log.
 */
package org.ibismoor.consensus.internal

import org.ibismoor.consensus.api.ConsensusInput
import org.ibismoor.consensus.api.ConsensusSettings
import org.ibismoor.consensus.api.ConsensusTables
import org.ibismoor.consensus.api.MessageReceived
import org.ibismoor.consensus.api.SnapshotPart
import org.ibismoor.consensus.api.SnapshotReceived
import org.ibismoor.consensus.api.SnapshotTaken
import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick

internal class SnapshotSystem(private val settings: ConsensusSettings) : ConsensusSystem {
    private val receiver = SnapshotReceiver()
    private val sender = SnapshotSender(settings)

    override fun run(tables: ConsensusTables, tick: Tick<ConsensusInput>): ConsensusStep {
        val cut = tick.messages.filterIsInstance<SnapshotTaken>().fold(tables, ::cut)
        return cut.forEach(tick.received(cut), ::receive).then(sender::send)
    }

    private fun receive(tables: ConsensusTables, received: MessageReceived): ConsensusStep =
        when (val message = received.message) {
            is SnapshotPart -> receiver.receive(tables, received.from, message)
            is SnapshotReceived -> Step(sender.note(tables, received.from, message))
            else -> Step(tables)
        }

    /** Recent entries stay in memory for peers that are slightly behind. */
    private fun cut(tables: ConsensusTables, taken: SnapshotTaken): ConsensusTables {
        val isNew = taken.index > tables.snapshot.index && taken.index <= tables.emittedIndex
        return if (isNew) {
            val row = tables.memberships.last { it.index <= taken.index }
            val term = checkNotNull(tables.log.termAt(taken.index))
            tables.copy(
                snapshot = SnapshotRow(taken.index, term, row.members, taken.payload),
                log = tables.log.dropTo(taken.index - settings.retainedEntries),
                memberships = tables.memberships.removeAll { it.index < row.index },
            )
        } else {
            tables
        }
    }
}
