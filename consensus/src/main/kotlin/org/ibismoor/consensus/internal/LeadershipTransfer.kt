/**
 * Transfers leadership to the voter with the most complete log. Proposals are refused during the transfer, which is
 * cancelled after the maximum election timeout.
 */
package org.ibismoor.consensus.internal

import org.ibismoor.consensus.api.ConsensusSettings
import org.ibismoor.consensus.api.ConsensusTables
import org.ibismoor.consensus.api.SendMessage
import org.ibismoor.consensus.api.TransferRequest
import org.ibismoor.core.api.Step

internal class LeadershipTransfer(private val settings: ConsensusSettings) {
    fun start(tables: ConsensusTables): ConsensusTables {
        val leadership = tables.leadership
        val target = tables.voters.filter { it != tables.self }
            .maxByOrNull { leadership?.peers?.get(it)?.matchIndex ?: 0 }
        return if (leadership == null || target == null || leadership.transfer != null) {
            tables
        } else {
            val row = TransferRow(target, tables.now + settings.maximumElectionMillis)
            tables.copy(leadership = leadership.copy(transfer = row))
        }
    }

    /** Requests an election of the target in each tick once the target holds the whole log. */
    fun advance(tables: ConsensusTables): ConsensusStep {
        val leadership = tables.leadership
        val transfer = leadership?.transfer
        return when {
            leadership == null || transfer == null -> Step(tables)
            tables.now >= transfer.deadline -> Step(tables.copy(leadership = leadership.copy(transfer = null)))
            leadership.peers[transfer.target]?.matchIndex != tables.log.lastIndex -> Step(tables)
            else -> Step(tables, listOf(SendMessage(transfer.target, TransferRequest(tables.term))))
        }
    }
}
