package org.ibismoor.coordination

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.ibismoor.coordination.api.bootstrapReplica

private const val BUDGET = 5_000L
private const val SEED_COUNT = 60

class CoordinationTest : StringSpec({
    "an acknowledged configuration survives the loss of a disk while all others restart" {
        // Guards against a replica that votes after losing its disk: with the replica that missed the publication it
        // would form a majority without the configuration.
        repeat(SEED_COUNT) { seed ->
            val fleet = startFleet(seed)
            val (first, second, third) = HOSTS.shuffled(fleet.random)
            fleet.kill(third)
            publishUntilAcknowledged(fleet, 7, listOf(first, second))
            fleet.kill(second)
            fleet.wipe(first)
            listOf(first, third).forEach(fleet::start)
            fleet.run(4_000)
            fleet.read(first)
            fleet.read(third)
            fleet.run(500)
            fleet.start(second)
            fleet.run(6_000)
            fleet.versionAt(third) shouldBe 7
            fleet.violations.shouldBeEmpty()
        }
    }

    "a replica that lost its disk becomes a member again under a new identifier" {
        // Guards against a group that keeps only two members after a disk loss and has no quorum after the next fault.
        val fleet = startFleet(1)
        publishUntilAcknowledged(fleet, 7, HOSTS)
        val lost = HOSTS.first { it != fleet.leader }
        fleet.wipe(lost)
        fleet.start(lost)
        fleet.run(4_000)
        val members = fleet.membersAt(checkNotNull(fleet.leader))
        members.size shouldBe 3
        (bootstrapReplica(lost) in members) shouldBe false
        members.map { it.domain.text } shouldContain lost
        HOSTS.filter { it != lost }.take(1).forEach(fleet::kill)
        fleet.run(4_000)
        publishUntilAcknowledged(fleet, 9, HOSTS)
    }

    "of two publications of one version, the first one is in force and both are confirmed" {
        // Guards against different contents under the same version.
        val fleet = startFleet(2)
        publishUntilAcknowledged(fleet, 7, HOSTS)
        val leader = checkNotNull(fleet.leader)
        fleet.publish(leader, 7, budget = 1)
        fleet.run(200)
        fleet.versionAt(leader) shouldBe 7
        fleet.acknowledgedVersion shouldBe 7
    }

    "a new leader names no older configuration than the one that was acknowledged" {
        // Guards against a router that refuses a new route for good, since a leader named an older configuration
        // before it had applied the entries that the earlier leader had committed.
        repeat(SEED_COUNT) { seed ->
            val fleet = startFleet(seed)
            val router = SimulatedRouter("router", isIdle = true).also(fleet::addRouter)
            publishUntilAcknowledged(fleet, 1, HOSTS)
            fleet.run(1_500)
            loseLeaderAfterPublication(fleet, 7)
            router.leaderAnswer = null
            runUntil(fleet) {
                fleet.report(checkNotNull(fleet.leader), router)
                router.leaderAnswer != null
            }
            router.leaderAnswer?.configurationVersion shouldBe 7
        }
    }

    "no random faults overspend a budget, lose an acknowledged configuration or make a read return an older one" {
        repeat(SEED_COUNT) { seed -> checkRandomFaults(startFleet(seed), lostDisks = 1) }
    }
})

private fun startFleet(seed: Int): SimulatedFleet {
    val fleet = SimulatedFleet(seed)
    HOSTS.forEach(fleet::start)
    fleet.run(2_500)
    return fleet
}

internal fun publishUntilAcknowledged(fleet: SimulatedFleet, version: Long, hosts: List<String>) {
    var tries = 0
    while (fleet.acknowledgedVersion < version && tries++ < 40) {
        hosts.forEach { fleet.publish(it, version, BUDGET) }
        fleet.run(200)
    }
    fleet.acknowledgedVersion shouldBeGreaterThanOrEqual version
}

/** The other replicas have the entry of [version], but no message that tells them of its commit. */
private fun loseLeaderAfterPublication(fleet: SimulatedFleet, version: Long) {
    val leader = checkNotNull(fleet.leader)
    fleet.publish(leader, version, BUDGET)
    runUntil(fleet) { fleet.acknowledgedVersion == version }
    fleet.kill(leader)
    fleet.dropMessagesInFlight()
    runUntil(fleet) { fleet.leader != null }
}

internal fun runUntil(fleet: SimulatedFleet, condition: () -> Boolean) {
    val end = fleet.now + 10_000
    while (!condition()) {
        check(fleet.now < end) { "the condition does not hold after 10 s" }
        fleet.run(1)
    }
}

/** Loses up to [lostDisks] disks at a time, and further ones only after their replicas have become members again. */
internal fun checkRandomFaults(fleet: SimulatedFleet, lostDisks: Int) {
    val hosts = fleet.hosts
    val routers = List(4) { SimulatedRouter("router-$it").also(fleet::addRouter) }
    var version = 1L
    publishUntilAcknowledged(fleet, version, hosts)
    repeat(25) {
        injectFault(fleet, routers, lostDisks)
        version += 1 + fleet.random.nextLong(3)
        fleet.publish(hosts.random(fleet.random), version, BUDGET)
        fleet.read(hosts.random(fleet.random))
        fleet.run(300 + fleet.random.nextLong(700))
    }
    restoreFleet(fleet)
    val last = version + 1
    publishUntilAcknowledged(fleet, last, hosts)
    fleet.run(2_000)
    fleet.violations.shouldBeEmpty()
    val voters = fleet.votersAt(checkNotNull(fleet.leader))
    voters.toSet().size shouldBe 2 * lostDisks + 1
    voters.forEach { fleet.versionAt(it) shouldBe last }
    routers.sumOf { it.totalSpent } shouldBeLessThanOrEqual BUDGET
}

private fun injectFault(fleet: SimulatedFleet, routers: List<SimulatedRouter>, lostDisks: Int) {
    val hosts = fleet.hosts
    val host = hosts.random(fleet.random)
    when (fleet.random.nextInt(7)) {
        0 -> fleet.kill(host)
        1 -> hosts.forEach(fleet::kill)
        2 -> fleet.partition(host, hosts.first { it != host })
        3 -> fleet.lossRate = fleet.random.nextDouble() / 4
        4 -> routers.random(fleet.random).restart()
        5 -> restoreFleet(fleet)
        else -> {
            restoreFleet(fleet)
            val lost = hosts.shuffled(fleet.random).take(lostDisks)
            lost.forEach(fleet::wipe)
            lost.forEach(fleet::start)
            fleet.run(4_000)
        }
    }
}

private fun restoreFleet(fleet: SimulatedFleet) {
    fleet.heal()
    fleet.lossRate = 0.0
    fleet.hosts.filterNot(fleet::isRunning).forEach(fleet::start)
    fleet.run(4_000)
}
