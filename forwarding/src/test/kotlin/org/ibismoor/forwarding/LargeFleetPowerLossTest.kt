package org.ibismoor.forwarding

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeGreaterThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.ibismoor.coordination.api.UpstreamEntry
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.forwarding.api.PromptShape
import kotlin.random.Random

private const val ROUTER_COUNT = 96
private const val ENGINE_COUNT = 63
private const val SEED_COUNT = 2
private const val MILLIS_PER_SECOND = 1_000
private const val FAULT_MILLIS = 38_000L
private const val REMAINDER_MILLIS = 45_000L
private const val LAST_QUARTER_MILLIS = 42_000L
private const val PARTITION_MILLIS = 8_000L

/** The demand of so many seconds is the budget of each organisation. */
private const val BUDGET_SECONDS = 60

/** Kinds of requests and how many of each the callers of all organisations send in a second. */
private val REQUESTS_PER_SECOND = listOf(
    promptOf(9_190, 50) to 226,
    promptOf(2_368, 25) to 247,
    promptOf(715, 280) to 53,
)

/** Parts of the requests that 24 organisations send: a few are large. */
private val ORGANISATION_WEIGHTS = (0 until 24).associate { OrganisationId("organisation-$it") to 24 / (it + 2) + 1 }

class LargeFleetPowerLossTest : StringSpec({
    "a loss of power of a large fleet strands at most a third of what is left of each budget" {
        // Guards against amounts held in advance that are bounded at each router but not over all routers. With 1/250
        // of a budget each, 95 routers held all that was left of it, and the loss of power took it from all callers.
        repeat(SEED_COUNT) { seed ->
            val fleet = startFleet(seed)
            fleet.run(FAULT_MILLIS)
            val servedBefore = fleet.servedTokens.toMap()
            fleet.losePower()
            fleet.run(REMAINDER_MILLIS)
            fleet.budgets.forEach { (organisation, budget) ->
                val remaining = budget - (servedBefore[organisation] ?: 0)
                val served = fleet.servedTokens.getValue(organisation)
                withClue("seed $seed, $organisation, $remaining of $budget tokens left") {
                    served - (servedBefore[organisation] ?: 0) shouldBeGreaterThanOrEqual remaining * 2 / 3
                    served shouldBeLessThanOrEqual budget
                }
            }
        }
    }

    "a large fleet serves callers through a network partition while two thirds of each budget are left" {
        // Guards against holding so little, or so scattered, that a partition of 8 s refuses callers.
        val fleet = startFleet(seed = 0)
        fleet.run(20_000)
        val servedBefore = fleet.served
        val refusedBefore = fleet.refused
        fleet.isPartitioned = true
        fleet.run(PARTITION_MILLIS)
        val served = fleet.served - servedBefore
        (fleet.refused - refusedBefore) * 20 shouldBeLessThanOrEqual served
    }

    "routers of a large fleet in contact with the leader refuse no request while a quarter of its budget is left" {
        // Guards against tokens that wait at routers without callers while other routers refuse requests for them.
        repeat(SEED_COUNT) { seed ->
            val fleet = startFleet(seed)
            fleet.run(LAST_QUARTER_MILLIS)
            fleet.refusals.filterKeys { it.second != RefusalReason.NOT_READY } shouldBe emptyMap()
        }
    }
})

private fun startFleet(seed: Int): BudgetFleet =
    BudgetFleet(seed, budgets(), ::sendRequests, ROUTER_COUNT, engines())

private fun engines(): List<UpstreamEntry> = List(ENGINE_COUNT) { upstream("engine-$it") }

private fun budgets(): Map<OrganisationId, Long> {
    val tokensPerSecond = REQUESTS_PER_SECOND.sumOf { (prompt, rate) -> prompt.maximumCost * rate }
    val weights = ORGANISATION_WEIGHTS.values.sum()
    return ORGANISATION_WEIGHTS.mapValues { (_, weight) -> tokensPerSecond * BUDGET_SECONDS * weight / weights }
}

/** Callers of all organisations use all routers alike. */
private fun sendRequests(fleet: BudgetFleet, random: Random) {
    REQUESTS_PER_SECOND.forEach { (prompt, rate) ->
        if (random.nextInt(MILLIS_PER_SECOND) < rate) sendRequest(fleet, prompt, random)
    }
}

private fun sendRequest(fleet: BudgetFleet, prompt: PromptShape, random: Random) {
    val organisation = chooseOrganisation(random)
    fleet.sendRequest(random.nextInt(ROUTER_COUNT), organisation, prompt)
}

private fun chooseOrganisation(random: Random): OrganisationId {
    var remaining = random.nextInt(ORGANISATION_WEIGHTS.values.sum())
    return ORGANISATION_WEIGHTS.entries.first { (_, weight) ->
        remaining -= weight
        remaining < 0
    }.key
}
