/**
 * The bound on requests to cold upstreams in each sliding second, for all routers together.
 */
package org.ibismoor.pacing

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.ibismoor.pacing.api.ColdBound
import org.ibismoor.pacing.api.PaceSettings
import org.ibismoor.pacing.api.coldBoundOf

private val SEEDS = 1L..3L
private val DOMAIN = (0 until 14).toList()
private val EVEN_ROUTERS = (0 until 100 step 2).toSet()
private val ALL_ROUTERS = (0 until 100).toSet()

/** The most requests that one of [upstreams] got in one second of the cold time after [start]. */
private fun ColdFleet.mostAt(upstreams: List<Int>, start: Long): Int =
    upstreams.maxOf { mostInOneSecond(it, start, start + COLD_START_MILLIS) }

class ColdBoundTest : StringSpec({
    "the parts of the senders use half of the bound" {
        // Guards against a bound that two lists of routers, or a small bound, exceed.
        coldBoundOf(18.0, COLD_SETTINGS) shouldBe ColdBound(senders = 8, sends = 2)
        coldBoundOf(10.0, PaceSettings()) shouldBe ColdBound(senders = 5, sends = 1)
        coldBoundOf(1.0, PaceSettings()) shouldBe ColdBound(senders = 1, sends = 1)
    }

    "a whole domain that returns gets requests within the bound" {
        // Guards against ninety routers that each use the whole bound, and against upstreams that no router uses.
        SEEDS.forEach { seed ->
            val fleet = ColdFleet(seed = seed)
            DOMAIN.forEach(fleet::remove)
            fleet.run(2_000)
            val start = fleet.now
            DOMAIN.forEach(fleet::start)
            fleet.run(6_000)
            fleet.mostAt(DOMAIN, start) shouldBeLessThanOrEqual BOUND
            DOMAIN.forEach { fleet.arrivedBetween(it, start + 2_000, start + COLD_START_MILLIS) shouldBeGreaterThan 0 }
            fleet.refused shouldBe 0
        }
    }

    "a whole service that returns is used within the bound" {
        // Guards against a service that stays idle while it is cold.
        SEEDS.forEach { seed ->
            val fleet = ColdFleet(seed = seed)
            val all = (0 until 42).toList()
            all.forEach(fleet::remove)
            fleet.run(100)
            val start = fleet.now
            all.forEach(fleet::start)
            fleet.run(6_000)
            fleet.mostAt(all, start) shouldBeLessThanOrEqual BOUND
            all.forEach { fleet.arrivedBetween(it, start + 2_000, start + COLD_START_MILLIS) shouldBeGreaterThan 0 }
        }
    }

    "two lists of routers keep the bound together under more requests than any upstream takes" {
        // Guards against the sum over both sides of a partition, and over routers that forget what they have sent.
        SEEDS.forEach { seed ->
            val fleet = ColdFleet(upstreamCount = 1, requestsPerSecond = 5_000.0, seed = seed)
            fleet.remove(0)
            fleet.run(100)
            val start = fleet.now
            fleet.start(0)
            fleet.run(1_650)
            fleet.cut(EVEN_ROUTERS)
            fleet.run(200)
            (1..9 step 4).forEach { fleet.restart(it, millis = 1_500) }
            fleet.run(3_000)
            fleet.mostAt(listOf(0), start) shouldBeInRange 16..BOUND
        }
    }

    "an upstream that becomes cold unseen gets no more than its usual requests" {
        // Guards against routers without the leader that move their requests to upstreams which they know nothing of.
        SEEDS.forEach { seed ->
            listOf(emptySet(), EVEN_ROUTERS, ALL_ROUTERS).forEach { cut ->
                val fleet = ColdFleet(seed = seed)
                fleet.run(2_000)
                fleet.cut(cut)
                val start = fleet.now
                DOMAIN.forEach(fleet::chill)
                fleet.run(8_000)
                fleet.heal()
                fleet.mostAt(DOMAIN, start) shouldBeLessThanOrEqual BOUND
                fleet.refused shouldBe 0
            }
        }
    }
})
