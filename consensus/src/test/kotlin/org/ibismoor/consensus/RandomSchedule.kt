/**
 * A random schedule of faults and requests from one seed. Afterwards it repairs all faults and expects progress within
 * a bounded time. A violation throws [SafetyViolation]; a lack of progress throws [IllegalStateException].
 */
package org.ibismoor.consensus

import org.ibismoor.consensus.api.ConsensusSettings
import org.ibismoor.consensus.api.LeadershipTransferRequested
import org.ibismoor.consensus.api.MembershipRequested
import org.ibismoor.consensus.api.ProposalReceived
import org.ibismoor.core.api.ReplicaId

internal data class ScheduleOptions(
    val settings: ConsensusSettings = ConsensusSettings(retainedEntries = 5, snapshotPartCharacters = 20),
    val order: EffectOrder = EffectOrder.RECORDS_FIRST,
    /** A fault that the search must detect: a replica that lost its disk restarts with the same epoch. */
    val isEpochKept: Boolean = false,
    val actions: Int = 80,
)

internal class RandomSchedule(seed: Long, private val options: ScheduleOptions) {
    private val group = SimulatedGroup(seed, settings = options.settings)
    private val random = group.random
    private var target = group.replicas.keys.toList()
    private var proposals = 0L
    private var lastEpoch = 1

    private val actions: List<Pair<Int, () -> Unit>> = listOf(
        40 to { submitProposals(group.leaders().randomOrNull(random)) },
        10 to { submitProposals(group.runningReplicas().randomOrNull(random)?.id) },
        8 to { group.leaders().randomOrNull(random)?.let(group::requestRead) },
        8 to { group.runningReplicas().randomOrNull(random)?.let { kill(it) } },
        10 to ::restartKilledReplica,
        4 to { group.runningReplicas().randomOrNull(random)?.let { it.isFrozen = true } },
        6 to ::resumeFrozenReplica,
        4 to { group.brokenLinks += group.replicas.keys.random(random) to group.replicas.keys.random(random) },
        4 to { group.isolate(group.replicas.keys.random(random)) },
        6 to { group.brokenLinks.clear() },
        8 to ::takeSnapshot,
        2 to { group.leaders().randomOrNull(random)?.let { group.submit(it, LeadershipTransferRequested) } },
        6 to ::loseDisk,
        4 to ::changeMembers,
        4 to ::changeNetwork,
    )

    fun run(): SimulatedGroup {
        changeNetwork()
        val total = actions.sumOf { it.first }
        repeat(options.actions) {
            var draw = random.nextInt(total)
            actions.first { (weight, _) -> (draw < weight).also { draw -= weight } }.second()
            requestTargetMembers()
            group.run(random.nextLong(MAXIMUM_PAUSE_MILLIS))
        }
        repairAllFaults()
        checkProgress()
        return group
    }

    private fun submitProposals(id: ReplicaId?) {
        if (id == null) return
        repeat(random.nextInt(1, 5)) { group.submit(id, ProposalReceived(++proposals, "command $proposals")) }
    }

    private fun kill(replica: SimulatedReplica) {
        if (random.nextBoolean()) group.killDuringTick = replica.id else replica.kill()
    }

    private fun restartKilledReplica() {
        group.replicas.values.filter { it.tables == null }.randomOrNull(random)?.let { group.start(it.id) }
    }

    private fun resumeFrozenReplica() {
        val replica = group.replicas.values.filter { it.isFrozen }.randomOrNull(random) ?: return
        replica.isFrozen = false
        group.runTick(replica)
    }

    private fun takeSnapshot() {
        val replica = group.runningReplicas().randomOrNull(random) ?: return
        if (replica.appliedIndex == 0L) return
        group.submit(replica.id, replica.takeSnapshot())
        if (random.nextInt(4) > 0) replica.compact()
    }

    /** Loses a disk only while no replica is being replaced, because a majority of disks must hold each entry. */
    private fun loseDisk() {
        if (!isTargetReached()) return
        val lost = target.random(random)
        val next = if (options.isEpochKept) lost else ReplicaId(lost.domain, ++lastEpoch)
        group.get(lost).kill()
        val mayReturn = random.nextInt(3) == 0 && !options.isEpochKept
        if (!mayReturn) group.replicas.remove(lost)
        target = target - lost + next
        group.add(next, emptyList())
    }

    private fun changeMembers() {
        if (!isTargetReached()) return
        if (target.size > 3) {
            target = target - target.random(random)
        } else {
            val added = replica("d", ++lastEpoch)
            target = target + added
            group.add(added, emptyList())
        }
    }

    private fun changeNetwork() {
        group.faults = SimulatedFaults(
            lossPercent = listOf(0, 0, 5, 30).random(random),
            duplicatePercent = listOf(0, 10).random(random),
            maximumDelayMillis = listOf(2, 20, 150).random(random),
            order = options.order,
        )
    }

    /** Processes repeat the request for the members that the applied configuration declares. */
    private fun requestTargetMembers() {
        group.runningReplicas().forEach { group.submit(it.id, MembershipRequested(target)) }
    }

    private fun isTargetReached(): Boolean = group.leaders().any { leader ->
        val tables = group.tables(leader)
        val isNewest = group.replicas.values.none { (it.tables?.term ?: 0) > tables.term }
        val membership = tables.memberships.last()
        val isTarget = membership.members.all { it.isVoter } &&
            membership.members.map { it.replica }.toSet() == target.toSet()
        isNewest && isTarget && tables.commitIndex >= maxOf(membership.index, tables.leadership!!.firstIndex)
    }

    private fun repairAllFaults() {
        group.faults = SimulatedFaults(order = options.order)
        group.brokenLinks.clear()
        group.killDuringTick = null
        repeat(group.replicas.size) { resumeFrozenReplica() }
        repeat(group.replicas.size) { restartKilledReplica() }
        requestTargetMembers()
    }

    private fun checkProgress() {
        group.runUntil { isTargetReached() }
        val before = group.checker.commitIndex
        submitProposals(group.leader())
        group.runUntil {
            val commit = checker.commitIndex
            commit > before && target.all { get(it).appliedIndex == commit }
        }
    }

    private companion object {
        const val MAXIMUM_PAUSE_MILLIS = 500L
    }
}
