/**
 * Compacts the log after a snapshot of the application state, and transfers snapshots to peers whose next entry is no
 * longer in memory.
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
        val compacted = tick.messages.filterIsInstance<SnapshotTaken>().fold(tables, ::compactLog)
        return compacted.runForEach(tick.acceptedMessages(compacted), ::handleMessage).then(sender::sendDueParts)
    }

    private fun handleMessage(tables: ConsensusTables, received: MessageReceived): ConsensusStep =
        when (val message = received.message) {
            is SnapshotPart -> receiver.receivePart(tables, received.from, message)
            is SnapshotReceived -> Step(sender.recordAnswer(tables, received.from, message))
            else -> Step(tables)
        }

    private fun compactLog(tables: ConsensusTables, snapshot: SnapshotTaken): ConsensusTables {
        val isNew = snapshot.index > tables.snapshot.index && snapshot.index <= tables.deliveredIndex
        return if (isNew) {
            val row = tables.memberships.last { it.index <= snapshot.index }
            val term = checkNotNull(tables.log.termAt(snapshot.index))
            tables.copy(
                snapshot = SnapshotRow(snapshot.index, term, row.members, snapshot.payload),
                log = tables.log.dropThrough(lastDropped(tables.log, snapshot.index)),
                memberships = tables.memberships.removeAll { it.index < row.index },
            )
        } else {
            tables
        }
    }

    /** Keeps the last entries in memory, so that a peer which lags by less needs no snapshot. */
    private fun lastDropped(log: LogTable, snapshotIndex: Long): Long {
        val first = maxOf(log.baseIndex, snapshotIndex - settings.retainedEntries)
        return (first..snapshotIndex).first { log.charactersBetween(it, snapshotIndex) <= settings.retainedCharacters }
    }
}
