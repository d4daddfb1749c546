/**
 * Keeps the group complete and on running VMs. A replica that lost its disk rejoins as a new replica of its host and
 * replaces the old one; a replica on another VM is added while the group has too few members to survive the tolerated
 * losses, and later replaces a member without contact. Others stay outside and keep asking. An observer asks for the
 * leader only.
 */
package org.ibismoor.coordination.internal

import kotlinx.collections.immutable.PersistentMap
import org.ibismoor.consensus.api.MembershipRequested
import org.ibismoor.consensus.api.status
import org.ibismoor.coordination.api.AnswerJoin
import org.ibismoor.coordination.api.CoordinationMessage
import org.ibismoor.coordination.api.CoordinationSettings
import org.ibismoor.coordination.api.CoordinationTables
import org.ibismoor.coordination.api.JoinAnswered
import org.ibismoor.coordination.api.JoinReceived
import org.ibismoor.coordination.api.JoinRow
import org.ibismoor.coordination.api.LeaderQueried
import org.ibismoor.coordination.api.SeedHostsChanged
import org.ibismoor.coordination.api.SendJoinRequest
import org.ibismoor.coordination.api.SendLeaderQuery
import org.ibismoor.coordination.api.hostOf
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.Tick
import org.ibismoor.core.api.Timestamp

/** Join requests after which a leader is forgotten if no answer has newer knowledge of it. */
private const val NAMED_LEADER_REQUESTS = 2

internal class JoinSystem(private val settings: CoordinationSettings) : CoordinationSystem {
    override fun run(tables: CoordinationTables, tick: Tick<CoordinationMessage>): CoordinationStep {
        val withSeedHosts = tick.messages.filterIsInstance<SeedHostsChanged>().lastOrNull()
            ?.let { tables.copy(seedHosts = it.hosts) } ?: tables
        val named = tick.messages.filterIsInstance<JoinAnswered>()
        val next = withSeedHosts.copy(join = withNamedLeader(withSeedHosts.join, named, tick.now))
        val joining = tick.messages.filterIsInstance<JoinReceived>()
        val replies = joining.map { it.reply } + tick.messages.filterIsInstance<LeaderQueried>().map { it.reply }
        val requested = requestJoin(withPlannedMembers(next, joining, tick.now), tick.now)
        return CoordinationStep(requested.tables, replies.map { leaderAnswer(it, next, tick.now) } + requested.effects)
    }

    /** A replica without a group receives no messages, so its first join request has to be due by time. */
    fun nextDue(tables: CoordinationTables): Timestamp? =
        tables.join.nextRequestAt ?: tables.consensus.now.takeUnless { hasJoined(tables) }

    /**
     * The latest contact with a leader counts, not the latest answer: processes outside the group ask each other too,
     * and would name a leader that has ended to each other for ever. An answer without a leader does not contradict one
     * that names it, since not every host knows the leader.
     */
    private fun withNamedLeader(row: JoinRow, answers: List<JoinAnswered>, now: Timestamp): JoinRow {
        val rows = answers.filter { it.leader != null }
            .map { row.copy(leader = it.leader, leaderNamedAt = Timestamp(now.millis - it.ageMillis)) }
        val newest = (rows + row).maxBy { it.leaderNamedAt?.millis ?: Long.MIN_VALUE }
        val isExpired = newest.leaderNamedAt
            ?.let { now - it >= NAMED_LEADER_REQUESTS * settings.joinRetryMillis } ?: false
        return if (isExpired) newest.copy(leader = null, leaderNamedAt = null) else newest
    }

    private fun hasJoined(tables: CoordinationTables): Boolean {
        val status = tables.consensus.status()
        return status.leader != null && status.members.any { it.replica == tables.replica }
    }

    private fun requestJoin(tables: CoordinationTables, now: Timestamp): CoordinationStep {
        val nextRequestAt = tables.join.nextRequestAt
        return when {
            hasJoined(tables) -> CoordinationStep(if (nextRequestAt == null) tables else tables.copy(join = JoinRow()))
            nextRequestAt == null -> CoordinationStep(tables.withNextRequest(now))
            nextRequestAt > now -> CoordinationStep(tables)
            else -> {
                val known = tables.replicas() + listOfNotNull(tables.join.leader)
                val hosts = (tables.seedHosts + known.map(::hostOf)).distinct()
                val request =
                    if (tables.isObserver) SendLeaderQuery(hosts) else SendJoinRequest(tables.replica, hosts)
                CoordinationStep(tables.withNextRequest(now), listOf(request))
            }
        }
    }

    private fun CoordinationTables.withNextRequest(now: Timestamp): CoordinationTables =
        copy(join = join.copy(nextRequestAt = now + settings.joinRetryMillis))

    /** What this replica was only told by others keeps its age. */
    private fun leaderAnswer(reply: Long, tables: CoordinationTables, now: Timestamp): AnswerJoin {
        val leader = if (tables.leadingSince != null) tables.replica else tables.otherLeader()
        val isTold = tables.leadingSince == null && tables.consensus.status().leader == null
        val toldAt = tables.join.leaderNamedAt.takeIf { isTold }
        return AnswerJoin(reply, leader, if (toldAt == null) 0 else now - toldAt)
    }

    /**
     * The first check of a leadership always requests the members, in the place of a request that the consensus still
     * has of an earlier leadership of this replica.
     */
    private fun withPlannedMembers(
        tables: CoordinationTables,
        joining: List<JoinReceived>,
        now: Timestamp,
    ): CoordinationTables {
        val isCheckDue = joining.isNotEmpty() || tables.nextMembershipCheckAt.let { it == null || now >= it }
        if (tables.leadingSince == null || !isCheckDue) return tables
        val candidates = joining.fold(tables.candidates) { table, message -> table.withCandidate(message.replica, now) }
        val next = tables.copy(
            candidates = candidates,
            nextMembershipCheckAt = now + settings.joinRetryMillis,
        )
        val planned = MembershipPlan(next, settings, now).members()
        val isFirstCheck = tables.nextMembershipCheckAt == null
        return if (tables.isGroupOf(planned) && !isFirstCheck) {
            next
        } else {
            next.copy(consensusInputs = next.consensusInputs.add(MembershipRequested(planned)))
        }
    }

    /** A learner counts as missing: the leader that added it may have lost its leadership before it was promoted. */
    private fun CoordinationTables.isGroupOf(planned: List<ReplicaId>): Boolean {
        val members = consensus.status().members
        return members.all { it.isVoter } && members.map { it.replica }.toSet() == planned.toSet()
    }

    /** A host runs one replica, so its later request replaces an earlier one. */
    private fun PersistentMap<ReplicaId, Timestamp>.withCandidate(replica: ReplicaId, now: Timestamp) =
        keys.filter { hostOf(it) == hostOf(replica) }.fold(this) { table, other -> table.remove(other) }
            .put(replica, now)
}
