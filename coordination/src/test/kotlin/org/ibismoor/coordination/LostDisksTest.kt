/**
 * The size of the group follows the losses that the fleet has to tolerate: as many disks may be lost at once, while all
 * other processes restart, without the loss of a confirmed publication and of the group itself.
 */
package org.ibismoor.coordination

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import org.ibismoor.coordination.api.CoordinationSettings
import org.ibismoor.coordination.api.hostOf
import org.ibismoor.core.api.ReplicaId

private const val SEED_COUNT = 30
private const val LOSSES = 2
private const val VOTERS = 5

/** Duration of a change of the members in these tests, within which a leader is lost at different moments. */
private const val MEMBERSHIP_MILLIS = 15L
private val SIX_HOSTS = List(6) { "10.0.0.${it + 1}" }
private val SETTINGS = CoordinationSettings(toleratedLosses = LOSSES)

class LostDisksTest : StringSpec({
    "callers are served again and the publication is kept after two disks of a tolerated two are lost at once" {
        // Guards against a group of three for a fleet that has to survive the loss of two disks: the survivor is no
        // majority, so there is no leader again, and it may not hold what the two others had confirmed.
        repeat(SEED_COUNT) { seed ->
            val fleet = startCompleteFleet(seed)
            for (version in 7L..9L) {
                publishUntilAcknowledged(fleet, version, SIX_HOSTS)
                loseDisksWhileAllRestart(fleet)
                runUntil(fleet) { fleet.leader != null }
                fleet.run(1_000)
                fleet.versionAt(checkNotNull(fleet.leader)) shouldBe version
                runUntil(fleet) { hasCompleteGroup(fleet) }
            }
            fleet.violations.shouldBeEmpty()
        }
    }

    "random faults that lose two disks at a time overspend no budget and lose no confirmed publication" {
        repeat(SEED_COUNT) { seed -> checkRandomFaults(startCompleteFleet(seed), lostDisks = LOSSES) }
    }

    "no publication is confirmed while a quorum could lose all its disks" {
        // Guards against a confirmation in the first seconds of a fleet that two lost disks undo.
        val fleet = SimulatedFleet(1, SETTINGS, SIX_HOSTS)
        val (early, late) = SIX_HOSTS.chunked(3)
        early.forEach(fleet::start)
        fleet.run(2_000)
        early.forEach { fleet.publish(it, 7, 1) }
        fleet.run(1_000)
        fleet.acknowledgedVersion shouldBe 0
        late.forEach(fleet::start)
        publishUntilAcknowledged(fleet, 7, SIX_HOSTS)
        fleet.votersAt(checkNotNull(fleet.leader)).size shouldBeGreaterThanOrEqual LOSSES * 2
    }

    "publications are confirmed at last if no more hosts run" {
        // Guards against a fleet with too few hosts that never takes a configuration.
        val fleet = SimulatedFleet(1, SETTINGS, SIX_HOSTS)
        SIX_HOSTS.take(3).forEach(fleet::start)
        fleet.run(SETTINGS.groupCompletionMillis + 2_000)
        publishUntilAcknowledged(fleet, 7, SIX_HOSTS)
    }

    "a host outside the complete group takes the place of a member without contact" {
        // Guards against a group that stays smaller than the losses require although a host with a disk is idle.
        val fleet = startCompleteFleet(1)
        val outside = SIX_HOSTS.single { it !in fleet.votersAt(checkNotNull(fleet.leader)) }
        val lost = SIX_HOSTS.first { it != outside && it != fleet.leader }
        fleet.kill(lost)
        fleet.run(6_000)
        val voters = fleet.votersAt(checkNotNull(fleet.leader))
        voters shouldContain outside
        voters.size shouldBe VOTERS
    }

    "a member without contact leaves the group although its successor takes long to catch up" {
        // Guards against a lost replica that stays a voter beside its successor: the next lost disk leaves no majority.
        repeat(SEED_COUNT) { seed ->
            val fleet = startCompleteFleet(seed)
            killFollower(fleet)
            val learner = addSlowLearner(fleet)
            checkCompleteGroupAfterCatchUp(fleet, learner)
        }
    }

    "a learner is removed if the member that it should replace comes back first" {
        // Guards against a voter more than wanted, which makes the majority larger but no loss more tolerable.
        repeat(SEED_COUNT) { seed ->
            val fleet = startCompleteFleet(seed)
            val lost = killFollower(fleet)
            addSlowLearner(fleet)
            fleet.start(lost)
            checkCompleteGroupAfterCatchUp(fleet, lost)
        }
    }

    "a lost voter leaves a group with a voter more than wanted" {
        // Guards against a group that an interrupted replacement has left with four voters, one of them lost for good.
        val fleet = SimulatedFleet(1, CoordinationSettings(toleratedLosses = 1), SIX_HOSTS.take(4), firstMembers = 4)
        fleet.hosts.forEach(fleet::start)
        runUntil(fleet) { fleet.leader != null }
        val lost = fleet.hosts.first { it != fleet.leader }
        fleet.kill(lost)
        fleet.run(5_000)
        fleet.votersAt(checkNotNull(fleet.leader)) shouldBe fleet.hosts - lost
    }

    "a learner that an earlier leader added becomes a voter" {
        // Guards against a group that stays one voter short: a member asks nobody to join, and the new leader takes the
        // members for complete.
        repeat(SEED_COUNT) { seed ->
            val fleet = startCompleteFleet(seed)
            val lost = fleet.votersAt(checkNotNull(fleet.leader)).first { it != fleet.leader }
            fleet.wipe(lost)
            fleet.run(1_000)
            fleet.start(lost)
            runUntil(fleet) { fleet.leader?.let { fleet.votersAt(it).size < fleet.membersAt(it).size } ?: false }
            fleet.run(seed % MEMBERSHIP_MILLIS)
            val leader = checkNotNull(fleet.leader)
            fleet.kill(leader)
            fleet.run(1_500)
            fleet.start(leader)
            runUntil(fleet) { hasCompleteGroup(fleet) }
        }
    }

    "a leader that is elected again does not bring back a member that another leader replaced" {
        // Guards against a former leader that changes the group to the members that it wanted in its earlier term.
        repeat(SEED_COUNT) { seed ->
            val fleet = startCompleteFleet(seed)
            val first = checkNotNull(fleet.leader)
            replaceDisk(fleet) { it != first }
            fleet.hosts.filter { it != first }.forEach { fleet.partition(first, it) }
            runUntil(fleet) { fleet.leaders.any { it != first } && first !in fleet.leaders }
            val second = checkNotNull(fleet.leader)
            val replaced = replaceDisk(fleet) { it != first && it != second }
            fleet.heal()
            fleet.run(500)
            fleet.kill(second)
            repeat(3_000) {
                fleet.run(1)
                fleet.leader?.let { fleet.membersAt(it) }.orEmpty() shouldNotContain replaced
            }
        }
    }

    "two losses without a spare host leave a group that confirms publications" {
        // Guards against a quorum that counts lost replicas which nobody can replace.
        val fleet = startCompleteFleet(1)
        fleet.hosts.filter { it != fleet.leader }.take(LOSSES).forEach(fleet::kill)
        fleet.run(3_000)
        publishUntilAcknowledged(fleet, 7, SIX_HOSTS)
    }
})

private fun startCompleteFleet(seed: Int): SimulatedFleet {
    val fleet = SimulatedFleet(seed, SETTINGS, SIX_HOSTS)
    SIX_HOSTS.forEach(fleet::start)
    runUntil(fleet) { hasCompleteGroup(fleet) }
    return fleet
}

/** Kills a voter that does not lead, and returns its host. */
private fun killFollower(fleet: SimulatedFleet): String {
    val follower = fleet.votersAt(checkNotNull(fleet.leader)).first { it != fleet.leader }
    fleet.kill(follower)
    return follower
}

/** Reaches the slow learner only after two checks of the members, and expects a complete group with [voter] in it. */
private fun checkCompleteGroupAfterCatchUp(fleet: SimulatedFleet, voter: String) {
    fleet.run(SETTINGS.joinRetryMillis * 2)
    fleet.heal()
    fleet.run(1_000)
    hasCompleteGroup(fleet) shouldBe true
    fleet.votersAt(checkNotNull(fleet.leader)) shouldContain voter
}

/** Runs until the leader has added a learner, which it then cannot reach. The result is the host of the learner. */
private fun addSlowLearner(fleet: SimulatedFleet): String {
    runUntil(fleet) { fleet.leader?.let { fleet.votersAt(it).size < fleet.membersAt(it).size } ?: false }
    val leader = checkNotNull(fleet.leader)
    val learner = fleet.membersAt(leader).map(::hostOf).single { it !in fleet.votersAt(leader) }
    fleet.partition(leader, learner)
    return learner
}

/** Loses the disk of a voter on a host that [isWanted], and returns the replica that is replaced. */
private fun replaceDisk(fleet: SimulatedFleet, isWanted: (String) -> Boolean): ReplicaId {
    val members = fleet.membersAt(checkNotNull(fleet.leader))
    val replaced = members.first { isWanted(hostOf(it)) && fleet.isRunning(it) }
    fleet.wipe(hostOf(replaced))
    fleet.start(hostOf(replaced))
    runUntil(fleet) { fleet.leader?.let { replaced !in fleet.membersAt(it) } ?: false }
    return replaced
}

private fun hasCompleteGroup(fleet: SimulatedFleet): Boolean =
    fleet.leader?.let(fleet::membersAt).orEmpty().let { it.size == VOTERS && it.all(fleet::isRunning) } &&
        fleet.leader?.let(fleet::votersAt).orEmpty().size == VOTERS

private fun loseDisksWhileAllRestart(fleet: SimulatedFleet) {
    val members = fleet.votersAt(checkNotNull(fleet.leader))
    val lost = members.shuffled(fleet.random).take(LOSSES)
    SIX_HOSTS.forEach(fleet::kill)
    fleet.dropMessagesInFlight()
    lost.forEach(fleet::wipe)
    SIX_HOSTS.forEach(fleet::start)
}
