/**
 * A random schedule of faults and requests from one seed. After the faults it heals everything and expects progress
 * within a bounded time. A violation throws [SafetyViolation]; a lack of progress throws IllegalStateException.
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
    /** The fault that a search must find: a replica whose disk was lost comes back under the same epoch. */
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
        40 to { propose(group.leaders().randomOrNull(random)) },
        10 to { propose(group.running().randomOrNull(random)?.id) },
        8 to { group.leaders().randomOrNull(random)?.let(group::read) },
        8 to { group.running().randomOrNull(random)?.let { kill(it) } },
        10 to ::restart,
        4 to { group.running().randomOrNull(random)?.let { it.isFrozen = true } },
        6 to ::wake,
        4 to { group.cuts += group.replicas.keys.random(random) to group.replicas.keys.random(random) },
        4 to { group.isolate(group.replicas.keys.random(random)) },
        6 to { group.cuts.clear() },
        8 to ::snapshot,
        2 to { group.leaders().randomOrNull(random)?.let { group.give(it, LeadershipTransferRequested) } },
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
            askForTarget()
            group.run(random.nextLong(MAXIMUM_PAUSE_MILLIS))
        }
        heal()
        expectProgress()
        return group
    }

    private fun propose(id: ReplicaId?) {
        if (id != null) repeat(random.nextInt(1, 5)) { group.give(id, ProposalReceived(++proposals, "command $proposals")) }
    }

    private fun kill(replica: SimulatedReplica) {
        if (random.nextBoolean()) group.killDuringTick = replica.id else replica.kill()
    }

    private fun restart() {
        group.replicas.values.filter { it.tables == null }.randomOrNull(random)?.let { group.start(it.id) }
    }

    private fun wake() {
        val replica = group.replicas.values.filter { it.isFrozen }.randomOrNull(random) ?: return
        replica.isFrozen = false
        group.tick(replica)
    }

    private fun snapshot() {
        val replica = group.running().randomOrNull(random) ?: return
        if (replica.appliedIndex == 0L) return
        group.give(replica.id, replica.snapshot())
        if (random.nextInt(4) > 0) replica.compact()
    }

    /** A disk is lost only while no other loss is being repaired: a majority of disks must hold each entry. */
    private fun loseDisk() {
        if (!isReached()) return
        val lost = target.random(random)
        val next = if (options.isEpochKept) lost else ReplicaId(lost.domain, ++lastEpoch)
        group.get(lost).kill()
        val isSetAside = random.nextInt(3) == 0 && !options.isEpochKept
        if (!isSetAside) group.replicas.remove(lost)
        target = target - lost + next
        group.add(next, emptyList())
    }

    private fun changeMembers() {
        if (!isReached()) return
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

    /** Processes learn the wanted members from the applied configuration and ask for them again and again. */
    private fun askForTarget() {
        group.running().forEach { group.give(it.id, MembershipRequested(target)) }
    }

    private fun isReached(): Boolean = group.leaders().any { leader ->
        val tables = group.tables(leader)
        val isNewest = group.replicas.values.none { (it.tables?.term ?: 0) > tables.term }
        val membership = tables.memberships.last()
        val isTarget = membership.members.all { it.isVoter } &&
            membership.members.map { it.replica }.toSet() == target.toSet()
        isNewest && isTarget && tables.commitIndex >= maxOf(membership.index, tables.leadership!!.firstIndex)
    }

    private fun heal() {
        group.faults = SimulatedFaults(order = options.order)
        group.cuts.clear()
        group.killDuringTick = null
        repeat(group.replicas.size) { wake() }
        repeat(group.replicas.size) { restart() }
        askForTarget()
    }

    private fun expectProgress() {
        group.runUntil { isReached() }
        val before = group.checker.commitIndex
        propose(group.leader())
        group.runUntil {
            val commit = checker.commitIndex
            commit > before && target.all { get(it).appliedIndex == commit }
        }
    }

    private companion object {
        const val MAXIMUM_PAUSE_MILLIS = 500L
    }
}
