/**
 * Tracks when this replica starts or stops being the leader. Reports and upstream lists of an earlier leadership are
 * out of date, so they are dropped.
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
        val notification = NotifyLeadershipChange(isLeading, status.term, status.leader)
        return when {
            isLeading == (tables.leadingSince != null) -> CoordinationStep(tables)
            isLeading -> CoordinationStep(startLeading(tables, tick.now), listOf(notification))
            else -> {
                val stopped = stopLeading(tables)
                CoordinationStep(stopped.tables, stopped.effects + notification)
            }
        }
    }

    private fun startLeading(tables: CoordinationTables, now: Timestamp): CoordinationTables =
        tables.copy(
            leadingSince = now,
            routers = persistentHashMapOf(),
            upstreams = null,
            heldUpstreams = null,
            absentVersions = persistentHashMapOf(),
            versionProposal = null,
            candidates = persistentHashMapOf(),
            nextMembershipCheckAt = null,
            nextAnnouncementAt = null,
        )

    private fun stopLeading(tables: CoordinationTables): CoordinationStep {
        val next = tables.copy(
            leadingSince = null,
            proposals = persistentHashMapOf(),
            reads = persistentHashMapOf(),
            routers = persistentHashMapOf(),
        )
        val exchanges = tables.proposals.values.flatMap { it.exchanges }
        val answers = exchanges.map { unconfirmedAnswer(next, it) }
        return CoordinationStep(next, answers + tables.reads.values.map(::unconfirmedReadAnswer))
    }
}
