/**
 * Guards against callers that are refused for want of tokens in a partition between routers and control processes,
 * while other routers hold tokens of the same organisation.
 */
package org.ibismoor.forwarding

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.ints.shouldBeLessThan
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.shouldBe
import org.ibismoor.core.api.OrganisationId
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.forwarding.api.CallerPlacement
import org.ibismoor.forwarding.api.LoadPolicies
import org.ibismoor.forwarding.api.PromptShape
import kotlin.random.Random

private const val ENGINE_COUNT = 42
private const val MILLIS_PER_SECOND = 1_000
private const val PARTITION_AT_MILLIS = 15_000L
private const val PARTITION_MILLIS = 8_000L

private const val AFTER_MILLIS = 2_000L

/** The demand of so many seconds is the budget of each organisation. */
private const val LONG_BUDGET_SECONDS = 60
private const val SHORT_BUDGET_SECONDS = 45
private const val ORGANISATIONS = 24
private const val CALLERS_PER_ORGANISATION = 40
private const val ADDRESSES_PER_ANSWER = 6
private const val NEAR_PERCENT = 60
private const val PERCENT = 100
private const val MINIMUM_ANSWER_MILLIS = 1_000
private const val MAXIMUM_ANSWER_MILLIS = 5_000

/** First and last router of each failure domain; the first domain has half of the requests. */
private val DOMAINS = listOf(0..15, 16..34, 35..53, 54..71)
private const val ROUTER_COUNT = 72

/** Kinds of requests and how many of each all callers send in a second. */
private val REQUESTS_PER_SECOND = listOf(
    promptOf(9_190, 50) to 226,
    promptOf(2_368, 25) to 247,
    promptOf(715, 280) to 63,
)
private val WEIGHTS = List(ORGANISATIONS) { ORGANISATIONS / (it + 2) + 1 }

class TokensInPartitionTest : StringSpec({
    "a partition of 8 s refuses few requests for want of tokens while routers hold more than they need in it" {
        // A quarter of what is unspent is 11 s of the demand.
        val result = partitionWith(LONG_BUDGET_SECONDS, CallerPlacement.ROOM)
        withClue("$result") { result.refused * 100 shouldBeLessThanOrEqual result.served }
    }

    "loans move tokens in a partition where routers together hold barely what they need" {
        // A quarter of what is unspent is 7.5 s of the demand, so that not all requests can be served.
        val before = partitionWith(SHORT_BUDGET_SECONDS, CallerPlacement.DOMAIN)
        val after = partitionWith(SHORT_BUDGET_SECONDS, CallerPlacement.ROOM)
        withClue("$before, $after") { after.refused shouldBeLessThan before.refused * 4 / 5 }
    }
})

private data class PartitionResult(val served: Int, val refused: Int)

/** A partition of 8 s after 15 s, with budgets of the demand of [budgetSeconds]. */
private fun partitionWith(budgetSeconds: Int, placement: CallerPlacement): PartitionResult {
    val callers = MovingCallers()
    val budgets = callers.budgets(budgetSeconds)
    val policies = LoadPolicies(callerPlacement = placement)
    val upstreams = List(ENGINE_COUNT) { upstream("engine-$it") }
    val fleet = BudgetFleet(0, budgets, callers, ROUTER_COUNT, upstreams, policies)
    fleet.run(PARTITION_AT_MILLIS)
    fleet.refusedForTokens() shouldBe 0
    val servedBefore = fleet.served
    fleet.isPartitioned = true
    fleet.run(PARTITION_MILLIS)
    fleet.isPartitioned = false
    val result = PartitionResult(fleet.served - servedBefore, fleet.refusedForTokens())
    fleet.run(AFTER_MILLIS)
    budgets.forEach { (organisation, budget) ->
        (fleet.servedTokens[organisation] ?: 0) shouldBeLessThanOrEqual budget
    }
    return result
}

private fun BudgetFleet.refusedForTokens(): Int =
    refusals.filterKeys { it.second == RefusalReason.SHARE_EXHAUSTED }.values.sum()

/** Callers that use a few routers at a time, those of their own failure domain more often than others. */
private class MovingCallers : Callers {
    private class Caller(val organisation: OrganisationId, val domain: IntRange, val weight: Int) {
        var routers = emptyList<Int>()
        var renewAt = 0L
    }

    private val callers = List(ORGANISATIONS) { index ->
        List(CALLERS_PER_ORGANISATION) { caller ->
            val domain = if (caller % 2 == 0) DOMAINS[0] else DOMAINS[1 + caller / 2 % (DOMAINS.size - 1)]
            Caller(OrganisationId("organisation-$index"), domain, WEIGHTS[index])
        }
    }.flatten()
    private val byWeight = callers.flatMap { caller -> List(caller.weight) { caller } }

    fun budgets(seconds: Int): Map<OrganisationId, Long> {
        val tokensPerSecond = REQUESTS_PER_SECOND.sumOf { (prompt, rate) -> prompt.maximumCost * rate }
        return WEIGHTS.indices.associate {
            OrganisationId("organisation-$it") to tokensPerSecond * seconds * WEIGHTS[it] / WEIGHTS.sum()
        }
    }

    override fun sendRequests(fleet: BudgetFleet, random: Random) {
        REQUESTS_PER_SECOND.forEach { (prompt, rate) ->
            if (random.nextInt(MILLIS_PER_SECOND) < rate) sendRequest(fleet, prompt, random)
        }
    }

    private fun sendRequest(fleet: BudgetFleet, prompt: PromptShape, random: Random) {
        val caller = byWeight.random(random)
        if (fleet.now >= caller.renewAt) renew(caller, fleet.now, random)
        fleet.sendRequest(caller.routers.random(random), caller.organisation, prompt)
    }

    private fun renew(caller: Caller, now: Long, random: Random) {
        caller.routers = List(ADDRESSES_PER_ANSWER) {
            if (random.nextInt(PERCENT) < NEAR_PERCENT) caller.domain.random(random) else random.nextInt(ROUTER_COUNT)
        }
        caller.renewAt = now + random.nextInt(MINIMUM_ANSWER_MILLIS, MAXIMUM_ANSWER_MILLIS)
    }
}
