/**
 * Guards against a few routers that carry nearly all requests: callers keep connections, and one failure domain has
 * half of the callers and less than a quarter of the routers.
 */
package org.ibismoor.forwarding

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.shouldBe
import org.ibismoor.core.api.FailureDomainId
import org.ibismoor.forwarding.api.CallerPlacement
import org.ibismoor.forwarding.api.RouterResources

private const val CALLERS = 1_000
private const val REQUESTS_PER_SECOND = 536
private const val START_MILLIS = 2_000L
private const val RUN_MILLIS = 30_000L

/** The first second in which all routers have the list. */
private const val FIRST_SECOND = 3L
private const val LAST_SECOND = 31L
private const val LEADER_LOSS_MILLIS = 8_000L
private const val SECONDS_AFTER_FAULT = 3L
private const val LINK_BYTES_PER_SECOND = 875_000.0

/** Every tenth caller sends as much as five others. */
private const val BUSY_CALLER_INTERVAL = 10
private const val BUSY_CALLER_WEIGHT = 5

private val DOMAINS = List(4) { FailureDomainId("domain-$it") }
private val EQUAL_ROUTERS = listOf(16, 19, 19, 18).flatMapIndexed { domain, count ->
    List(count) { PlacedRouter(DOMAINS[domain], RouterResources(0.36, 330_000_000, 4_100, LINK_BYTES_PER_SECOND)) }
}
private val UNEQUAL_ROUTERS = listOf(24, 35, 36).flatMapIndexed { domain, count ->
    List(count) { index ->
        val scale = 1 + index % 3
        val cores = 0.3 * scale
        PlacedRouter(
            DOMAINS[domain],
            RouterResources(cores, 190_000_000L + 100_000_000L * scale, 2_500 * scale, 656_250.0 * scale),
        )
    }
}

class CallerPlacementTest : StringSpec({
    "placed by failure domain, the routers of a busy domain get more than twice their part" {
        // Shows that the load of this test is the one that the placement by room is for.
        val fleet = startFleet(0, EQUAL_ROUTERS, CallerPlacement.DOMAIN)
        fleet.run(RUN_MILLIS)
        fleet.highestPart(FIRST_SECOND..LAST_SECOND) shouldBeGreaterThan 2.0
    }

    listOf("72 equal" to EQUAL_ROUTERS, "95 unequal" to UNEQUAL_ROUTERS).forEach { (name, routers) ->
        "the busiest of $name routers gets less than twice its part" {
            listOf(0, 1).forEach { seed ->
                val fleet = startFleet(seed, routers)
                fleet.run(RUN_MILLIS)
                val nearPart = fleet.near / fleet.total.toDouble()
                withClue("seed $seed, ${fleet.moved} moved, $nearPart near") {
                    fleet.highestPart(FIRST_SECOND..LAST_SECOND) shouldBeLessThan 2.0
                    fleet.refused shouldBe 0
                    fleet.total shouldBeGreaterThan REQUESTS_PER_SECOND * 25
                }
            }
        }

        "the busiest of $name routers gets less than twice its part after a quarter of them has ended" {
            val fleet = startFleet(0, routers)
            fleet.run(RUN_MILLIS / 2)
            fleet.stop(routers.indices.filter { it % 4 == 1 })
            val faultAt = fleet.now / 1_000
            fleet.run(RUN_MILLIS / 2)
            withClue("${fleet.unplaced} unplaced") {
                fleet.highestPart(faultAt + SECONDS_AFTER_FAULT until fleet.now / 1_000) shouldBeLessThan 2.0
                fleet.unplaced shouldBe 0
            }
        }

        "the busiest of $name routers gets less than twice its part while the leader is gone" {
            val fleet = startFleet(0, routers)
            fleet.run(RUN_MILLIS / 2)
            fleet.isLeaderGone = true
            val faultAt = fleet.now / 1_000
            fleet.run(LEADER_LOSS_MILLIS)
            fleet.isLeaderGone = false
            fleet.run(RUN_MILLIS / 2 - LEADER_LOSS_MILLIS)
            fleet.highestPart(faultAt until fleet.now / 1_000) shouldBeLessThan 2.0
            fleet.unplaced shouldBe 0
        }
    }
})

private fun startFleet(
    seed: Int,
    routers: List<PlacedRouter>,
    placement: CallerPlacement = CallerPlacement.ROOM,
): PlacementFleet =
    PlacementFleet(seed, routers, callersOf(routers.map { it.domain }.distinct()), placement)
        .also { it.run(START_MILLIS) }

/** Half of the callers are in the first of [domains], and the others evenly in the rest. */
private fun callersOf(domains: List<FailureDomainId>): List<CallerGroup> {
    val weights = List(CALLERS) { if (it % BUSY_CALLER_INTERVAL == 0) BUSY_CALLER_WEIGHT else 1 }
    return weights.mapIndexed { index, weight ->
        val domain = if (index < CALLERS / 2) domains.first() else domains[1 + index % (domains.size - 1)]
        CallerGroup(domain, 1_000.0 * weights.sum() / weight / REQUESTS_PER_SECOND)
    }
}
