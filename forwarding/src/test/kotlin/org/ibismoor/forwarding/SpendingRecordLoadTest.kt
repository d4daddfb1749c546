/**
 * The load of each cut of a site: callers at a router with a disk, on the VM of a control process, while that VM is
 * separated from the leader for 8 s, and restarts of such routers while they hold tokens for it.
 */
package org.ibismoor.forwarding

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThanOrEqual

private const val SEEDS = 10
private const val REQUESTS_PER_SECOND = 25
private const val PARTITION_SECONDS = 8
private const val COLOCATED_ROUTER = 0

/** Requests that the budget covers: the traffic of one minute. */
private const val BUDGET_REQUESTS = 1_500

/** Requests whose tokens one loss of power may strand: those of two seconds. */
private const val STRANDED_REQUESTS = 2 * REQUESTS_PER_SECOND

class SpendingRecordLoadTest : StringSpec({
    "callers at a router on the VM of a control process are served while that VM is separated from the leader" {
        // Guards against a router that holds nothing in advance and refuses a third of all callers in each cut.
        val refusals = (0 until SEEDS).sumOf { seed ->
            val fleet = startFleet(seed)
            fleet.run(20_000)
            val before = fleet.refused
            fleet.isPartitioned = true
            fleet.run(PARTITION_SECONDS * 1_000L)
            fleet.refused - before
        }
        refusals shouldBeLessThanOrEqual SEEDS * PARTITION_SECONDS * REQUESTS_PER_SECOND / 20
    }

    "callers that stay at such a router are served through a cut that needs over a quarter of their budget" {
        // Guards against a limit of the tokens at one router that persistent callers spend in the first half of a cut.
        val fleet = BudgetFleet(seed = 1, budget = 16 * REQUESTS_PER_SECOND * REQUEST_TOKENS, hasDisks = true).apply {
            requestsPerSecond = REQUESTS_PER_SECOND
            callerRouter = COLOCATED_ROUTER
        }
        fleet.run(8_000)
        val before = fleet.refused
        fleet.isPartitioned = true
        fleet.run(6_000)
        fleet.refused - before shouldBeLessThanOrEqual 6 * REQUESTS_PER_SECOND / 20
    }

    "three losses of power strand at most two seconds of demand each" {
        // Guards against tokens that every restart takes from a budget because a router held them in advance.
        repeat(SEEDS) { seed ->
            val fleet = startFleet(seed)
            repeat(3) {
                fleet.run(5_000 + seed * 100L)
                fleet.losePower()
            }
            fleet.run(90_000)
            withClue("seed $seed") {
                fleet.served shouldBeGreaterThanOrEqual BUDGET_REQUESTS - 3 * STRANDED_REQUESTS
                fleet.served shouldBeLessThanOrEqual BUDGET_REQUESTS
            }
        }
    }

    "a loss of power during a cut strands no more, and the budget is not overspent" {
        // Guards against tokens spent without contact with the leader that a restart takes for unspent.
        repeat(SEEDS) { seed ->
            val fleet = startFleet(seed)
            fleet.run(10_000)
            fleet.isPartitioned = true
            fleet.run(1_000 + seed * 400L)
            fleet.losePower()
            fleet.isPartitioned = false
            fleet.run(90_000)
            withClue("seed $seed") {
                fleet.served shouldBeGreaterThanOrEqual BUDGET_REQUESTS - STRANDED_REQUESTS
                fleet.served shouldBeLessThanOrEqual BUDGET_REQUESTS
            }
        }
    }
})

private fun startFleet(seed: Int): BudgetFleet =
    BudgetFleet(seed, BUDGET_REQUESTS * REQUEST_TOKENS, hasDisks = true).apply {
        requestsPerSecond = REQUESTS_PER_SECOND
        callerRouter = COLOCATED_ROUTER
    }
