package org.ibismoor.scenario

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.comparables.shouldBeGreaterThan
import io.kotest.matchers.comparables.shouldBeLessThanOrEqualTo
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.ibismoor.core.api.BudgetId
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.ledger.api.Applied
import org.ibismoor.ledger.api.PublicationConflict
import org.ibismoor.scenario.api.ProcessAction
import org.ibismoor.scenario.api.booking
import org.ibismoor.scenario.api.chat
import org.ibismoor.scenario.api.exampleConfiguration
import org.ibismoor.scenario.api.runScenario
import org.ibismoor.scenario.api.scenario
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.minutes
import kotlin.time.Duration.Companion.seconds

private val live = BudgetId("live")

/** Guards the guarantees on billing, configuration and answers against single failures at chosen times. */
class GuaranteesTest : StringSpec({
    "a fleet without faults answers every call, bills it once and puts a publication in force within 9 s" {
        val result = runScenario(
            scenario("calm", seed = 1) {
                configuration = exampleConfiguration("live" to 1_000_000)
                at(2.seconds) { publish("norte-1") }
                repeat(12.seconds, 22.seconds, every = 100.milliseconds) { call(domain(it), chat("live", "c$it")) }
                repeat(12.seconds, 22.seconds, every = 500.milliseconds) { call(domain(it), booking("live", "b$it")) }
                duration = 40.seconds
            },
        )
        result.violations.shouldBeEmpty()
        result.unansweredCalls.shouldBeEmpty()
        result.budgets.getValue(live).billed shouldBe 100 * 100 + 20 * 50
        result.publications.single().inForceAfterMillis.shouldNotBeNull() shouldBeLessThanOrEqualTo 9_000
    }

    "a partitioned domain serves from its share, and a top-up during the partition causes no overspend" {
        val result = runScenario(
            scenario("partition with top-up", seed = 2) {
                configuration = exampleConfiguration("live" to 30_000)
                at(2.seconds) { publish("norte-1") }
                at(15.seconds) { isolate("norte-3") }
                repeat(16.seconds, 10.minutes, every = 1.seconds) { call(domain(it), chat("live", "c$it")) }
                at(5.minutes) { topUp("norte-1", "live", "second", 20_000) }
                at(10.minutes) { heal() }
                duration = 11.minutes
            },
        )
        result.violations.shouldBeEmpty()
        val budget = result.budgets.getValue(live)
        budget.billed shouldBeLessThanOrEqualTo budget.granted
        budget.billed shouldBeGreaterThan 40_000
    }

    "calls on an exhausted budget are refused, and the budget is not overspent" {
        val result = runScenario(
            scenario("exhaustion", seed = 3) {
                configuration = exampleConfiguration("live" to 2_000)
                at(2.seconds) { publish("norte-1") }
                repeat(12.seconds, 32.seconds, every = 200.milliseconds) { call(domain(it), chat("live", "c$it")) }
                duration = 60.seconds
            },
        )
        result.violations.shouldBeEmpty()
        result.budgets.getValue(live).billed shouldBe 2_000
        result.unansweredCalls.last().refusals.last() shouldBe RefusalReason.BUDGET_EXHAUSTED
    }

    "after a router dies with open streams, every call is answered and billed once" {
        val result = runScenario(
            scenario("router death", seed = 4) {
                configuration = exampleConfiguration("live" to 1_000_000)
                at(2.seconds) { publish("norte-1") }
                repeat(12.seconds, 30.seconds, every = 100.milliseconds) { call("norte-1", chat("live", "c$it")) }
                at(15.seconds + 50.milliseconds) { applyToRouter("norte-1", 1, ProcessAction.KILL) }
                at(20.seconds) { applyToRouter("norte-1", 1, ProcessAction.START) }
                duration = 60.seconds
            },
        )
        result.violations.shouldBeEmpty()
        result.unansweredCalls.shouldBeEmpty()
        result.budgets.getValue(live).billed shouldBe 180 * 100
    }

    "a booking whose router dies runs at most once, however often the caller retries" {
        val result = runScenario(
            scenario("router death with bookings", seed = 5) {
                configuration = exampleConfiguration("live" to 1_000_000)
                at(2.seconds) { publish("norte-1") }
                repeat(12.seconds, 22.seconds, every = 10.milliseconds) { call("norte-2", booking("live", "b$it")) }
                at(15.seconds) { applyToRouter("norte-2", 1, ProcessAction.KILL) }
                at(18.seconds) { applyToRouter("norte-2", 1, ProcessAction.START) }
                duration = 60.seconds
            },
        )
        result.violations.shouldBeEmpty()
        result.calls.none { it.executions > 1 } shouldBe true
    }

    "a thawed router neither completes an answer whose reservation has expired nor has it billed twice" {
        val result = runScenario(
            scenario("frozen router", seed = 6) {
                configuration = exampleConfiguration("live" to 1_000_000)
                at(2.seconds) { publish("norte-1") }
                repeat(12.seconds, 20.seconds, every = 100.milliseconds) { call("norte-1", chat("live", "c$it")) }
                at(15.seconds + 20.milliseconds) { applyToRouter("norte-1", 1, ProcessAction.FREEZE) }
                at(40.seconds) { applyToRouter("norte-1", 1, ProcessAction.THAW) }
                duration = 90.seconds
            },
        )
        result.violations.shouldBeEmpty()
        result.unansweredCalls.shouldBeEmpty()
    }

    "a killed control process loses no acknowledged record" {
        val result = runScenario(
            scenario("control restart", seed = 7) {
                configuration = exampleConfiguration("live" to 1_000_000)
                at(2.seconds) { publish("norte-1") }
                repeat(12.seconds, 40.seconds, every = 100.milliseconds) { call(domain(it), chat("live", "c$it")) }
                repeat(12.seconds, 40.seconds, every = 300.milliseconds) { call(domain(it), booking("live", "b$it")) }
                at(16.seconds + 30.milliseconds) { applyToControl("norte-1", ProcessAction.KILL) }
                at(22.seconds) { applyToControl("norte-1", ProcessAction.START) }
                at(26.seconds + 30.milliseconds) { applyToControl("norte-2", ProcessAction.KILL) }
                at(29.seconds) { applyToControl("norte-2", ProcessAction.START) }
                duration = 80.seconds
            },
        )
        result.violations.shouldBeEmpty()
        result.unansweredCalls.filter { it.call.isIdempotent }.shouldBeEmpty()
    }

    "a lost disk is replaced under the next epoch, its share is written off and no budget is overspent" {
        val result = runScenario(
            scenario("lost disk", seed = 8) {
                configuration = exampleConfiguration("live" to 60_000)
                at(2.seconds) { publish("norte-1") }
                repeat(12.seconds, 3.minutes, every = 250.milliseconds) { call(domain(it), chat("live", "c$it")) }
                at(30.seconds) { applyToControl("norte-3", ProcessAction.LOSE_DISK) }
                at(35.seconds) { publish("norte-1") }
                at(90.seconds) { applyToControl("norte-2", ProcessAction.KILL) }
                at(110.seconds) { applyToControl("norte-2", ProcessAction.START) }
                duration = 4.minutes
            },
        )
        result.violations.shouldBeEmpty()
        val budget = result.budgets.getValue(live)
        budget.billed + budget.writtenOff shouldBeLessThanOrEqualTo budget.granted
        budget.writtenOff shouldBeGreaterThan 0
    }

    "an isolated control process puts no older configuration in force when it or its router restarts" {
        val result = runScenario(
            scenario("long isolation", seed = 9) {
                configuration = exampleConfiguration("live" to 100_000)
                at(2.seconds) { publish("norte-1") }
                at(15.seconds) { isolate("norte-3") }
                repeat(20.seconds, 10.minutes, every = 5.seconds) { publish("norte-1") }
                at(5.minutes) { applyToControl("norte-3", ProcessAction.KILL) }
                at(6.minutes) { applyToControl("norte-3", ProcessAction.START) }
                at(7.minutes) { applyToRouter("norte-3", 1, ProcessAction.KILL) }
                at(7.minutes + 1.seconds) { applyToRouter("norte-3", 1, ProcessAction.START) }
                at(11.minutes) { heal() }
                duration = 12.minutes
            },
        )
        result.violations.shouldBeEmpty()
        result.publications.all { it.result == Applied } shouldBe true
    }

    "a control process that restarts right after a publication serves it to its routers" {
        val result = runScenario(
            scenario("restart after publication", seed = 13) {
                configuration = exampleConfiguration("live" to 100_000)
                at(2.seconds) { publish("norte-1") }
                at(8.seconds) { publish("norte-1") }
                at(9.seconds) {
                    applyToControl("norte-1", ProcessAction.KILL)
                    applyToControl("norte-1", ProcessAction.START)
                }
                duration = 30.seconds
            },
        )
        result.violations.shouldBeEmpty()
    }

    "of two publications under one number exactly one wins and the other names the winner" {
        val result = runScenario(
            scenario("racing operators", seed = 10) {
                configuration = exampleConfiguration("live" to 100_000)
                at(2.seconds) { publish("norte-1") }
                at(10.seconds) {
                    publish("norte-1", number = 7, marker = "from-one")
                    publish("norte-2", number = 7, marker = "from-two")
                    publish("norte-3", number = 7, marker = "from-one")
                }
                duration = 30.seconds
            },
        )
        result.violations.shouldBeEmpty()
        val race = result.publications.filter { it.number.value == 7L }
        race.size shouldBe 3
        val conflicts = race.map { it.result }.filterIsInstance<PublicationConflict>()
        conflicts.all { it.winner.value == 7L && it.winnerDigest != null } shouldBe true
        conflicts.size shouldBe if (conflicts.first().winnerDigest == "digest-7-from-one") 1 else 2
    }

    "a key that runs on both sides of a network partition is billed once" {
        val result = runScenario(
            scenario("same key on both sides", seed = 11) {
                configuration = exampleConfiguration("live" to 1_000_000)
                at(2.seconds) { publish("norte-1") }
                at(15.seconds) { isolate("norte-3") }
                repeat(16.seconds, 28.seconds, every = 500.milliseconds) { call("norte-3", chat("live", "c$it")) }
                at(40.seconds) {
                    call("norte-1", chat("live", "twin"))
                    call("norte-3", chat("live", "twin"))
                }
                at(60.seconds) { heal() }
                duration = 90.seconds
            },
        )
        result.violations.shouldBeEmpty()
        val twins = result.calls.filter { it.call.key == "twin" }
        twins.map { it.isAnswered } shouldBe listOf(true, true)
        twins.first().executions shouldBe 2
        result.budgets.getValue(live).billed shouldBe (result.answeredCalls.size - 1) * 100
    }

    "a draining router completes every request that it accepted" {
        val result = runScenario(
            scenario("drain", seed = 12) {
                configuration = exampleConfiguration("live" to 1_000_000)
                at(2.seconds) { publish("norte-1") }
                repeat(12.seconds, 30.seconds, every = 50.milliseconds) { call("norte-1", chat("live", "c$it")) }
                at(15.seconds) { applyToRouter("norte-1", 1, ProcessAction.DRAIN) }
                duration = 60.seconds
            },
        )
        result.violations.shouldBeEmpty()
        result.unansweredCalls.shouldBeEmpty()
    }
})

private fun domain(turn: Int): String = "norte-${turn % 3 + 1}"
