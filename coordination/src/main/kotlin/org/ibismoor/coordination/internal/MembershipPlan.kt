/**
 * The members that the group should have, from its present members and the replicas that ask to join. It depends on
 * nothing but the tables, so that concurrent requests and a change of the leader cannot leave it half done.
 */
package org.ibismoor.coordination.internal

import org.ibismoor.consensus.api.status
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
    private val leadingSince = tables.leadingSince ?: now
    private val members = tables.replicas()
    private val voters = tables.consensus.status().members.filter { it.isVoter }.map { it.replica }

    /**
     * A learner stays a candidate until it votes. If it counted as a member, the voter that it replaces would have no
     * successor any more and would stay in the group for good. Learners come first, since they hold a part of the log.
     */
    private val candidates = (members - voters.toSet()).filterNot(::isUnreachable) + newCandidates()

    private fun newCandidates(): List<ReplicaId> =
        tables.candidates.filterValues { now - it < CANDIDATE_REQUESTS * settings.joinRetryMillis }
            .keys.filter { it !in members }.sorted()

    fun members(): List<ReplicaId> {
        val current = voters.filterNot(::isSuperseded) + candidates.filter(::hasVoterOnHost)
        val others = candidates - current.toSet()
        val added = others.take((settings.wantedVoters - current.size).coerceAtLeast(0))
        return withoutSurplus(withSuccessors(current + added, others - added.toSet()))
    }

    /** A host runs one replica. It is a new one if the host asks to join, or if another member there has contact. */
    private fun isSuperseded(voter: ReplicaId): Boolean {
        val hasCandidate = candidates.any { hostOf(it) == hostOf(voter) }
        val hasNewerVoter = voters.any { it != voter && hostOf(it) == hostOf(voter) && !isUnreachable(it) }
        return voter != tables.replica && (hasCandidate || hasNewerVoter && isUnreachable(voter))
    }

    private fun hasVoterOnHost(candidate: ReplicaId): Boolean = voters.any { hostOf(it) == hostOf(candidate) }

    /** Voters without contact make room for [others]. Without a successor they stay, since they may come back. */
    private fun withSuccessors(planned: List<ReplicaId>, others: List<ReplicaId>): List<ReplicaId> {
        val unreachable = planned.filter(::isLostVoter)
        return planned - unreachable.take(others.size).toSet() + others.take(unreachable.size)
    }

    /**
     * An even group is left with one voter too many by a replacement that ended halfway. It survives no more losses
     * than without that voter, but a lost one has to be outvoted.
     */
    private fun withoutSurplus(planned: List<ReplicaId>): List<ReplicaId> {
        val hasSurplus = planned.size > settings.wantedVoters && planned.size % 2 == 0
        val surplus = planned.firstOrNull { hasSurplus && isLostVoter(it) }
        return if (surplus == null) planned else planned - surplus
    }

    private fun isLostVoter(replica: ReplicaId): Boolean =
        replica in voters && replica != tables.replica && isUnreachable(replica)

    /** A learner asks to join until it knows the group, which counts as contact. */
    private fun isUnreachable(member: ReplicaId): Boolean {
        val joinRequestedAt = if (member in voters) null else tables.candidates[member]
        val contacts = listOfNotNull(tables.lastContactAt[member], joinRequestedAt, leadingSince)
        return now - contacts.max() >= settings.replicaTimeoutMillis
    }
}
