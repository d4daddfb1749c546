/**
 * The members that the group should have, from its present members and the replicas that ask to join. It depends on
 * nothing but the tables, so that concurrent requests and a change of the leader cannot leave it half done.
 */
package org.ibismoor.coordination.internal

import org.ibismoor.coordination.api.CoordinationSettings
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.hostOf
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.Timestamp

/** A candidate that has missed this many join requests is no longer considered. */
private const val CANDIDATE_REQUESTS = 4

/** To be called at the leader only. The leader itself always stays a member. */
internal class MembershipPlan(
    private val tables: CoordinationTables,
    private val settings: CoordinationSettings,
    private val now: Timestamp,
) {
    private val members = tables.replicas()
    private val candidates = tables.candidates.filterValues { now - it < CANDIDATE_REQUESTS * settings.joinRetryMillis }
        .keys.filter { it !in members }.sorted()

    fun members(): List<ReplicaId> {
        val current = members.filterNot(::isSuperseded) + candidates.filter(::hasMemberOnHost)
        val others = candidates - current.toSet()
        val added = others.take((settings.wantedVoters - current.size).coerceAtLeast(0))
        return withSuccessors(current + added, others - added.toSet())
    }

    /** A host runs one replica. It is a new one if the host asks to join, or if another member there has contact. */
    private fun isSuperseded(member: ReplicaId): Boolean {
        val hasCandidate = candidates.any { hostOf(it) == hostOf(member) }
        val hasNewerMember = members.any { it != member && hostOf(it) == hostOf(member) && !isUnreachable(it) }
        return member != tables.replica && (hasCandidate || hasNewerMember && isUnreachable(member))
    }

    private fun hasMemberOnHost(candidate: ReplicaId): Boolean = members.any { hostOf(it) == hostOf(candidate) }

    /** Members without contact make room for [others]. Without a successor they stay, since they may come back. */
    private fun withSuccessors(planned: List<ReplicaId>, others: List<ReplicaId>): List<ReplicaId> {
        val unreachable = planned.filter { it in members && it != tables.replica && isUnreachable(it) }
        return planned - unreachable.take(others.size).toSet() + others.take(unreachable.size)
    }

    private fun isUnreachable(member: ReplicaId): Boolean {
        val since = tables.leadingSince ?: now
        val lastContactAt = maxOf(tables.lastContactAt[member] ?: since, since)
        return now - lastContactAt >= settings.replicaTimeoutMillis
    }
}
