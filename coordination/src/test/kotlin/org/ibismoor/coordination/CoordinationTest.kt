package org.ibismoor.coordination

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.ibismoor.coordination.api.bootstrapReplica

private const val BUDGET = 5_000L
private const val SEEDS = 60

class CoordinationTest : StringSpec({
    "an acknowledged configuration survives the loss of a disk while all others restart" {
        // Guards against a wiped replica that votes as if it remembered: with the one that missed the publication it
        // would be a majority without the configuration.
        repeat(SEEDS) { seed ->
            val fleet = started(seed)
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

    "a replica whose disk was lost becomes a member again under a new name" {
        // Guards against a group that stays at two members after a lost disk and stops at the next fault.
        val fleet = started(1)
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

    "of two publications of one version the first one holds and both are confirmed" {
        // Guards against a second content under a version that is already in force.
        val fleet = started(2)
        publishUntilAcknowledged(fleet, 7, HOSTS)
        val leader = checkNotNull(fleet.leader)
        fleet.publish(leader, 7, budget = 1)
        fleet.run(200)
        fleet.versionAt(leader) shouldBe 7
        fleet.acknowledged shouldBe 7
    }

    "no schedule of faults overspends a budget, loses an acknowledged configuration or shows an older one" {
        repeat(SEEDS) { seed -> playFaults(seed) }
    }
})

private fun started(seed: Int): SimulatedFleet {
    val fleet = SimulatedFleet(seed)
    HOSTS.forEach(fleet::start)
    fleet.run(2_500)
    return fleet
}

private fun publishUntilAcknowledged(fleet: SimulatedFleet, version: Long, hosts: List<String>) {
    var tries = 0
    while (fleet.acknowledged < version && tries++ < 40) {
        hosts.forEach { fleet.publish(it, version, BUDGET) }
        fleet.run(200)
    }
    fleet.acknowledged shouldBeGreaterThanOrEqual version
}

private fun playFaults(seed: Int) {
    val fleet = started(seed)
    val routers = List(4) { SimulatedRouter("router-$it").also(fleet::addRouter) }
    var version = 1L
    publishUntilAcknowledged(fleet, version, HOSTS)
    repeat(25) {
        disturb(fleet, routers)
        version += 1 + fleet.random.nextLong(3)
        fleet.publish(HOSTS.random(fleet.random), version, BUDGET)
        fleet.read(HOSTS.random(fleet.random))
        fleet.run(300 + fleet.random.nextLong(700))
    }
    calm(fleet)
    val last = version + 1
    publishUntilAcknowledged(fleet, last, HOSTS)
    fleet.run(2_000)
    fleet.violations.shouldBeEmpty()
    HOSTS.forEach { fleet.versionAt(it) shouldBe last }
    routers.sumOf { it.spentInAll } shouldBeLessThanOrEqual BUDGET
}

/** Disks are lost one at a time, and only after the one before is a member again. */
private fun disturb(fleet: SimulatedFleet, routers: List<SimulatedRouter>) {
    val host = HOSTS.random(fleet.random)
    when (fleet.random.nextInt(7)) {
        0 -> fleet.kill(host)
        1 -> HOSTS.forEach(fleet::kill)
        2 -> fleet.cut(host, HOSTS.first { it != host })
        3 -> fleet.loss = fleet.random.nextDouble() / 4
        4 -> routers.random(fleet.random).restart()
        5 -> calm(fleet)
        else -> {
            calm(fleet)
            fleet.wipe(host)
            fleet.start(host)
            fleet.run(4_000)
        }
    }
}

private fun calm(fleet: SimulatedFleet) {
    fleet.heal()
    fleet.loss = 0.0
    HOSTS.filterNot(fleet::isRunning).forEach(fleet::start)
    fleet.run(4_000)
}
