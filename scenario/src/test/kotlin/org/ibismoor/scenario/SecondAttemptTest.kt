package org.ibismoor.scenario

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.ibismoor.core.api.BudgetId
import org.ibismoor.scenario.api.chat
import org.ibismoor.scenario.api.exampleConfiguration
import org.ibismoor.scenario.api.runScenario
import org.ibismoor.scenario.api.scenario
import kotlin.time.Duration.Companion.milliseconds
import kotlin.time.Duration.Companion.seconds

/** Guards against a second attempt with the same key that ends the answer which the first one could still complete. */
class SecondAttemptTest : StringSpec({
    "both attempts with one key are answered, and the key is billed once" {
        val result = runScenario(
            scenario("second attempt", seed = 9) {
                configuration = exampleConfiguration("live" to 1_000_000)
                at(2.seconds) { publish("norte-1") }
                // An answer takes 1.2 s, so that the attempts overlap at the same ledger.
                at(12.seconds) { call("norte-1", chat("live", "k")) }
                at(12.seconds + 600.milliseconds) { call("norte-1", chat("live", "k")) }
                duration = 30.seconds
            },
        )
        result.violations.shouldBeEmpty()
        result.unansweredCalls.shouldBeEmpty()
        result.calls.flatMap { it.refusals }.shouldBeEmpty()
        result.budgets.getValue(BudgetId("live")).billed shouldBe 100
    }
})
