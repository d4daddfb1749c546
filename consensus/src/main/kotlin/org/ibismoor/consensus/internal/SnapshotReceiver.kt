/**
 * Collects the parts of a snapshot and installs it. Out-of-order parts are answered with the size received so far.
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
    fun receivePart(tables: ConsensusTables, from: ReplicaId, part: SnapshotPart): ConsensusStep =
        when {
            part.term < tables.term || tables.leadership != null -> Step(tables)
            part.index <= tables.commitIndex -> reply(tables.copy(incoming = null), from, part, 0, isInstalled = true)
            else -> collectPart(tables, from, part)
        }

    private fun collectPart(tables: ConsensusTables, from: ReplicaId, part: SnapshotPart): ConsensusStep {
        val partial = tables.incoming?.takeIf { it.term == part.term && it.index == part.index }
            ?: IncomingSnapshot(part.term, part.index, persistentListOf(), 0)
        val isNext = part.offset == partial.length
        val next = if (isNext) partial.withPart(part.part) else partial
        return if (isNext && part.isLast) {
            install(tables, part, next).then { reply(it, from, part, next.length, isInstalled = true) }
        } else {
            reply(tables.copy(incoming = next), from, part, next.length, isInstalled = false)
        }
    }

    private fun install(tables: ConsensusTables, part: SnapshotPart, incoming: IncomingSnapshot): ConsensusStep {
        val payload = incoming.parts.joinToString("")
        val record = SnapshotRecord(part.index, part.indexTerm, part.members, payload)
        val installed = tables.installSnapshot(record).copy(incoming = null, deliveredIndex = part.index)
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
