/**
 * Hands leadership to the voter that is furthest ahead. New proposals are refused meanwhile; after the maximum
 * election timeout the transfer is given up.
 */
package org.ibismoor.consensus.internal

import org.ibismoor.consensus.api.ConsensusSettings
import org.ibismoor.consensus.api.ConsensusTables
import org.ibismoor.consensus.api.SendMessage
import org.ibismoor.consensus.api.TransferRequest
import org.ibismoor.core.api.Step

internal class LeadershipTransfer(private val settings: ConsensusSettings) {
    fun begin(tables: ConsensusTables): ConsensusTables {
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

    /** Asks the target to stand at each heartbeat once it holds the whole log. */
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
