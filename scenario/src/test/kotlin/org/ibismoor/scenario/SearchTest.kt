package org.ibismoor.scenario

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.shouldBe
import org.ibismoor.scenario.api.ReplayResult
import org.ibismoor.scenario.api.describeSchedule
import org.ibismoor.scenario.api.encodeTrace
import org.ibismoor.scenario.api.randomScenario
import org.ibismoor.scenario.api.rehearsals
import org.ibismoor.scenario.api.replayTrace
import org.ibismoor.scenario.api.runScenario
import org.ibismoor.scenario.api.searchSchedules

private const val FIRST_SEED = 1L
private const val SEED_COUNT = 24

/** Guards against broken guarantees that only combined failures cause, and against traces that do not replay. */
class SearchTest : StringSpec({
    "no random schedule of the fixed seeds breaks a guarantee" {
        val failures = searchSchedules(FIRST_SEED, SEED_COUNT).failures
        val schedules = failures.keys.associateWith { describeSchedule(randomScenario(it)) }
        withClue("failures $failures with schedules $schedules") { failures.keys.shouldBeEmpty() }
    }

    "a replay matches its trace, and a changed line is reported" {
        val scenario = randomScenario(FIRST_SEED)
        val lines = encodeTrace(scenario, runScenario(scenario))
        replayTrace(lines) shouldBe ReplayResult.Same(lines.size)
        val changed = lines.toMutableList().apply { this[2] = "{}" }
        (replayTrace(changed) as ReplayResult.Different).line shouldBe 3
    }

    "a trace without a header is unreadable" {
        replayTrace(listOf("nothing")) shouldBe
            ReplayResult.Unreadable("line 1 is not a trace header of version 1; record the trace again")
    }

    "each rehearsal keeps the guarantees" {
        rehearsals.filterValues { runScenario(it).violations.isNotEmpty() }.keys.shouldBeEmpty()
    }
})
