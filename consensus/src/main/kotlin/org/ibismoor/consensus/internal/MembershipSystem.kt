/**
 * Changes the group to the requested members, one change at a time, each after the previous one is committed. A new
 * member is a learner until it holds every committed entry.
 */
package org.ibismoor.consensus.internal

import org.ibismoor.consensus.api.ConsensusInput
import org.ibismoor.consensus.api.ConsensusMember
import org.ibismoor.consensus.api.ConsensusSettings
import org.ibismoor.consensus.api.ConsensusTables
import org.ibismoor.consensus.api.MembersContent
import org.ibismoor.consensus.api.MembershipRequested
import org.ibismoor.core.api.ReplicaId
import org.ibismoor.core.api.Step
import org.ibismoor.core.api.Tick

internal class MembershipSystem(private val settings: ConsensusSettings) : ConsensusSystem {
    private val transfer = LeadershipTransfer(settings)

    override fun run(tables: ConsensusTables, tick: Tick<ConsensusInput>): ConsensusStep {
        val requested = tick.messages.filterIsInstance<MembershipRequested>().lastOrNull()?.replicas?.distinct()
        val isAcceptable = requested != null && requested.size in 1..ConsensusSettings.MAXIMUM_MEMBERS
        val updated = if (isAcceptable) tables.copy(targetMembers = requested) else tables
        val target = updated.targetMembers
        return if (target != null && isChangeAllowed(updated)) makeNextChange(updated, target) else Step(updated)
    }

    /**
     * The leader must first commit an entry of its own term, because its change could otherwise overlap with an
     * uncommitted change of an earlier leader.
     */
    private fun isChangeAllowed(tables: ConsensusTables): Boolean {
        val leadership = tables.leadership
        val isLastChangeCommitted = tables.commitIndex >= (tables.memberships.lastOrNull()?.index ?: 0)
        val isOneAtATime = isLastChangeCommitted && tables.commitIndex >= (leadership?.firstIndex ?: 0)
        return leadership != null && leadership.transfer == null &&
            (isOneAtATime || !settings.isEnforced(SafetyRule.ONE_CHANGE_AT_A_TIME))
    }

    private fun makeNextChange(tables: ConsensusTables, target: List<ReplicaId>): ConsensusStep {
        val next = nextMembers(tables, target)
        return when {
            next != null -> tables.appendInOwnTerm(MembersContent(next)).then { Step(it.withImmediateHeartbeat()) }
            isOnlySelfToRemove(tables, target) -> Step(transfer.start(tables))
            else -> Step(tables)
        }
    }

    private fun isOnlySelfToRemove(tables: ConsensusTables, target: List<ReplicaId>): Boolean =
        tables.self !in target && tables.voters.toSet() == target.toSet() + tables.self

    /** The members after the next change, or null if no change can be made now. */
    private fun nextMembers(tables: ConsensusTables, target: List<ReplicaId>): List<ConsensusMember>? {
        val members = tables.members
        val extraLearner = members.firstOrNull { !it.isVoter && it.replica !in target }
        val missing = target.firstOrNull { replica -> members.none { it.replica == replica } }
        val learners = members.filter { !it.isVoter && it.replica in target }
        return when {
            extraLearner != null -> members - extraLearner
            missing != null -> members + ConsensusMember(missing, isVoter = false)
            learners.isNotEmpty() -> membersTowardsPromotion(tables, learners, target)
            else -> extraVoter(tables, target)?.let { members - it }
        }
    }

    /**
     * The next step towards the promotion of a learner, or null if no learner is ready. An unreachable voter that is to
     * leave is removed first, because with the reverse order a majority would need every remaining voter.
     */
    private fun membersTowardsPromotion(
        tables: ConsensusTables,
        learners: List<ConsensusMember>,
        target: List<ReplicaId>,
    ): List<ConsensusMember>? {
        val ready = learners.firstOrNull { canBePromoted(tables, it.replica) }
        val unreachable = extraVoter(tables, target)
            ?.takeIf { !tables.isReachable(it.replica, settings.maximumElectionMillis) }
        return when {
            ready == null -> null
            unreachable != null -> tables.members - unreachable
            else -> tables.members - ready + ready.copy(isVoter = true)
        }
    }

    private fun extraVoter(tables: ConsensusTables, target: List<ReplicaId>): ConsensusMember? =
        tables.members.filter { it.isVoter && it.replica !in target && it.replica != tables.self }
            .minByOrNull { tables.leadership?.peers?.get(it.replica)?.lastContactAt?.millis ?: 0 }

    private fun canBePromoted(tables: ConsensusTables, replica: ReplicaId): Boolean {
        val matchIndex = tables.leadership?.peers?.get(replica)?.matchIndex ?: 0
        val isWithinLag = tables.log.lastIndex - matchIndex <= ConsensusSettings.PROMOTION_LAG_ENTRIES
        val isComplete = isWithinLag && matchIndex >= tables.commitIndex
        return isComplete || !settings.isEnforced(SafetyRule.PROMOTE_COMPLETE_LEARNER)
    }
}
