package org.ibismoor.forwarding

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldHaveAtLeastSize
import io.kotest.matchers.ints.shouldBeLessThanOrEqual

private const val SEEDS = 10
private const val START_MILLIS = 3_000L
private const val ATTACK_MILLIS = 16_000L
private const val STABILITY_MILLIS = 3_000L
private const val COUNTED_CRASHES = 3
private const val LATE_REQUESTS = 3
private const val ROUTERS = 6

class DeadlyRequestTest : StringSpec({
    "a request that crashes each upstream that runs it is kept from the upstreams" {
        // Guards against one request that crashes upstream after upstream for as long as its caller repeats it.
        checkAllSeeds { fleet -> fleet.run(ATTACK_MILLIS) }
    }

    "a rare request that crashes upstreams is kept from them" {
        // Guards against evidence that is forgotten between two repetitions.
        checkAllSeeds(perSecond = 1) { fleet -> fleet.run(2 * ATTACK_MILLIS) }
    }

    "a frequent request that crashes upstreams is kept from them" {
        // Guards against crashes of all upstreams together that are taken for a loss of power.
        checkAllSeeds(perSecond = 20) { fleet -> fleet.run(ATTACK_MILLIS) }
    }

    "a new leader keeps a deadly request from the upstreams" {
        // Guards against evidence and quarantines that end with the leader that had them.
        checkAllSeeds { fleet ->
            repeat(3) {
                fleet.run(500L + fleet.random.nextInt(3_000))
                fleet.restartControl()
            }
            fleet.run(ATTACK_MILLIS)
            fleet.restartControl()
            fleet.run(ATTACK_MILLIS)
        }
    }

    "a deadly request is kept from the upstreams after a restart of all processes" {
        // Guards against quarantines that are kept in memory only.
        checkAllSeeds { fleet ->
            fleet.run(1_000L + fleet.random.nextInt(15_000))
            fleet.restartAll()
            fleet.run(ATTACK_MILLIS)
            fleet.restartAll()
            fleet.run(ATTACK_MILLIS)
        }
    }

    "routers without control for some seconds keep a deadly request from the upstreams" {
        // Guards against routers that send a request on since no leader tells them of the quarantine.
        checkAllSeeds { fleet ->
            fleet.run(fleet.random.nextInt(14_000).toLong())
            fleet.cutOff = setOf(fleet.random.nextInt(ROUTERS), fleet.random.nextInt(ROUTERS))
            fleet.run(5_000)
            fleet.cutOff = emptySet()
            fleet.run(ATTACK_MILLIS)
        }
    }
})

/** Lets the deadly request arrive [perSecond] times a second and checks how often it reaches upstreams too late. */
internal fun checkAllSeeds(perSecond: Int = 3, attack: (DeadlyFleet) -> Unit) {
    val results = DeadlyRoute.entries.flatMap { route ->
        List(SEEDS) { seed ->
            val fleet = DeadlyFleet(seed, route)
            fleet.run(START_MILLIS)
            fleet.deadlyPerSecond = perSecond
            attack(fleet)
            "$route, seed $seed: ${fleet.upstreams.deadlyCrashes.size} crashes" to fleet
        }
    }
    val late = results.associate { (name, fleet) -> name to lateArrivals(fleet) }
    withClue("tries later than $STABILITY_MILLIS ms after the third crash: $late") {
        results.forEach { (_, fleet) -> fleet.upstreams.deadlyCrashes shouldHaveAtLeastSize 1 }
        late.values.max() shouldBeLessThanOrEqual LATE_REQUESTS
    }
}

private fun lateArrivals(fleet: DeadlyFleet): Int {
    val third = fleet.upstreams.deadlyCrashes.getOrNull(COUNTED_CRASHES - 1) ?: return 0
    return fleet.upstreams.deadlyArrivals.count { it > third + STABILITY_MILLIS }
}
