/**
 * Notes when this replica begins or ceases to lead. What it had heard as a leader before is of no use to a later term.
 */
package org.ibismoor.coordination.internal

import kotlinx.collections.immutable.persistentHashMapOf
import org.ibismoor.consensus.api.ConsensusRole
import org.ibismoor.consensus.api.status
import org.ibismoor.coordination.api.CoordinationMessage
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.NotifyLeadershipChange
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp

internal class LeadershipSystem : CoordinationSystem {
    override fun run(tables: CoordinationTables, tick: Tick<CoordinationMessage>): CoordinationStep {
        val status = tables.consensus.status()
        val isLeading = status.role == ConsensusRole.LEADER
        val moved = NotifyLeadershipChange(isLeading, status.term, status.leader)
        return when {
            isLeading == (tables.leadingSince != null) -> CoordinationStep(tables)
            isLeading -> CoordinationStep(begin(tables, tick.now), listOf(moved))
            else -> {
                val ended = end(tables)
                CoordinationStep(ended.tables, ended.effects + moved)
            }
        }
    }

    private fun begin(tables: CoordinationTables, now: Timestamp): CoordinationTables =
        tables.copy(leadingSince = now, routers = persistentHashMapOf(), upstreams = null)

    private fun end(tables: CoordinationTables): CoordinationStep {
        val next = tables.copy(
            leadingSince = null,
            proposals = persistentHashMapOf(),
            reads = persistentHashMapOf(),
            routers = persistentHashMapOf(),
        )
        val proposals = tables.proposals.values.flatMap { it.waiting }.map { unconfirmed(next, it) }
        return CoordinationStep(next, proposals + tables.reads.values.map(::unconfirmedRead))
    }
}
