/**
 * Collects the parts of a snapshot and installs it. Parts out of order are answered with the size held so far.
 */
package org.ibismoor.consensus.internal

import kotlinx.collections.immutable.persistentListOf
import org.ibismoor.consensus.api.ConsensusTables
import org.ibismoor.consensus.api.RestoreSnapshot
import org.ibismoor.consensus.api.SendMessage
import org.ibismoor.consensus.api.SnapshotPart
import org.ibismoor.consensus.api.SnapshotReceived
import org.ibismoor.consensus.api.SnapshotRecord
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.Step

internal class SnapshotReceiver {
    fun receive(tables: ConsensusTables, from: ReplicaId, part: SnapshotPart): ConsensusStep =
        when {
            part.term < tables.term || tables.leadership != null -> Step(tables)
            part.index <= tables.commitIndex -> reply(tables.copy(incoming = null), from, part, 0, isInstalled = true)
            else -> collect(tables, from, part)
        }

    private fun collect(tables: ConsensusTables, from: ReplicaId, part: SnapshotPart): ConsensusStep {
        val known = tables.incoming?.takeIf { it.term == part.term && it.index == part.index }
            ?: IncomingSnapshot(part.term, part.index, persistentListOf(), 0)
        val isNext = part.offset == known.length
        val next = if (isNext) known.plus(part.part) else known
        return if (isNext && part.isLast) {
            install(tables, part, next).then { reply(it, from, part, next.length, isInstalled = true) }
        } else {
            reply(tables.copy(incoming = next), from, part, next.length, isInstalled = false)
        }
    }

    private fun install(tables: ConsensusTables, part: SnapshotPart, incoming: IncomingSnapshot): ConsensusStep {
        val payload = incoming.parts.joinToString("")
        val record = SnapshotRecord(part.index, part.indexTerm, part.members, payload)
        val installed = tables.install(record).copy(incoming = null, emittedIndex = part.index)
        return Step(installed, listOf(persist(record), RestoreSnapshot(part.index, payload)))
    }

    private fun reply(
        tables: ConsensusTables,
        to: ReplicaId,
        part: SnapshotPart,
        received: Int,
        isInstalled: Boolean,
    ): ConsensusStep =
        Step(tables, listOf(SendMessage(to, SnapshotReceived(tables.term, part.index, received, isInstalled))))
}
