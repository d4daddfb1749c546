/**
 * Disks of control processes that are full for a few seconds each, one after another.
 */
package org.ibismoor.coordination

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.ibismoor.coordination.api.CoordinationSettings

private const val SEED_COUNT = 30
private const val FULL_MILLIS = 4_000L

/** The users' bound on the confirmation of a change. */
private const val CONFIRMATION_MILLIS = 4_000L

class FullDisksTest : StringSpec({
    listOf(1 to 3, 2 to 6).forEach { (losses, hostCount) ->
        "publications are confirmed in time while $hostCount disks are full in turn and after that" {
            // Guards against a replica that does not come back once its disk has space, so that the group loses its
            // quorum with a later full disk.
            repeat(SEED_COUNT) { seed -> checkFullDisks(seed, losses, hostCount) }
        }
    }
})

private fun checkFullDisks(seed: Int, losses: Int, hostCount: Int) {
    val hosts = List(hostCount) { "10.0.0.${it + 1}" }
    val fleet = SimulatedFleet(seed, CoordinationSettings(toleratedLosses = losses), hosts)
    hosts.forEach(fleet::start)
    fleet.run(3_000)
    publishUntilAcknowledged(fleet, 1, hosts)
    var version = 1L
    hosts.shuffled(fleet.random).forEach { host ->
        fleet.fillDisk(host)
        val end = fleet.now + FULL_MILLIS
        while (fleet.now < end) publishInTime(fleet, ++version)
        fleet.freeDisk(host)
    }
    repeat(3) { publishInTime(fleet, ++version) }
    fleet.run(5_000)
    fleet.read(checkNotNull(fleet.leader))
    fleet.run(500)
    fleet.violations.shouldBeEmpty()
    fleet.votersAt(checkNotNull(fleet.leader)).forEach { fleet.versionAt(it) shouldBe version }
}

private fun publishInTime(fleet: SimulatedFleet, version: Long) {
    val startedAt = fleet.now
    publishUntilAcknowledged(fleet, version, fleet.hosts)
    fleet.now - startedAt shouldBeLessThanOrEqual CONFIRMATION_MILLIS
}
