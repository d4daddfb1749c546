/**
 * Moves the group towards the requested members, one change at a time, each after the one before is committed. A new
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
        val aimed = if (isAcceptable) tables.copy(target = requested) else tables
        val target = aimed.target
        return if (target != null && isChangeAllowed(aimed)) approach(aimed, target) else Step(aimed)
    }

    /** A change before the first committed entry of the own term could overlap with one of an earlier leader. */
    private fun isChangeAllowed(tables: ConsensusTables): Boolean {
        val leadership = tables.leadership
        val isSettled = tables.commitIndex >= (tables.memberships.lastOrNull()?.index ?: 0)
        val isOneAtATime = isSettled && tables.commitIndex >= (leadership?.firstIndex ?: 0)
        return leadership != null && leadership.transfer == null &&
            (isOneAtATime || !settings.isEnforced(SafetyRule.ONE_CHANGE_AT_A_TIME))
    }

    private fun approach(tables: ConsensusTables, target: List<ReplicaId>): ConsensusStep {
        val next = nextMembers(tables, target)
        return when {
            next != null -> tables.appendOwn(MembersContent(next)).then { Step(it.hurryHeartbeat()) }
            isOnlySelfLeft(tables, target) -> Step(transfer.begin(tables))
            else -> Step(tables)
        }
    }

    private fun isOnlySelfLeft(tables: ConsensusTables, target: List<ReplicaId>): Boolean =
        tables.self !in target && tables.voters.toSet() == target.toSet() + tables.self

    /** The members after the next change; null if there is none to make now. */
    private fun nextMembers(tables: ConsensusTables, target: List<ReplicaId>): List<ConsensusMember>? {
        val members = tables.members
        val extraLearner = members.firstOrNull { !it.isVoter && it.replica !in target }
        val missing = target.firstOrNull { replica -> members.none { it.replica == replica } }
        val learners = members.filter { !it.isVoter && it.replica in target }
        return when {
            extraLearner != null -> members - extraLearner
            missing != null -> members + ConsensusMember(missing, isVoter = false)
            learners.isNotEmpty() -> promote(tables, learners, target)
            else -> extraVoter(tables, target)?.let { members - it }
        }
    }

    /**
     * A voter that cannot be reached is removed before its successor is promoted. With the reverse order the group
     * would need every remaining voter at once.
     */
    private fun promote(
        tables: ConsensusTables,
        learners: List<ConsensusMember>,
        target: List<ReplicaId>,
    ): List<ConsensusMember>? {
        val ready = learners.firstOrNull { isComplete(tables, it.replica) }
        val lost = extraVoter(tables, target)
            ?.takeIf { !tables.isReachable(it.replica, settings.maximumElectionMillis) }
        return when {
            ready == null -> null
            lost != null -> tables.members - lost
            else -> tables.members - ready + ready.copy(isVoter = true)
        }
    }

    private fun extraVoter(tables: ConsensusTables, target: List<ReplicaId>): ConsensusMember? =
        tables.members.filter { it.isVoter && it.replica !in target && it.replica != tables.self }
            .minByOrNull { tables.leadership?.peers?.get(it.replica)?.heardAt?.millis ?: 0 }

    private fun isComplete(tables: ConsensusTables, replica: ReplicaId): Boolean {
        val held = tables.leadership?.peers?.get(replica)?.matchIndex ?: 0
        val isNear = tables.log.lastIndex - held <= ConsensusSettings.PROMOTION_LAG_ENTRIES
        return isNear && held >= tables.commitIndex || !settings.isEnforced(SafetyRule.PROMOTE_COMPLETE_LEARNER)
    }
}
