/**
 * Served shares under each named load pattern, before (a router that sends everything at once) and with the queue. The
 * bounds are those of the requirements; the figures of one run are in `docs/design/admission.md`.
 */
package org.ibismoor.admission

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.doubles.shouldBeGreaterThan
import io.kotest.matchers.doubles.shouldBeGreaterThanOrEqual
import io.kotest.matchers.ints.shouldBeLessThan

private const val MINIMUM_CLASS_PART = 0.25
private const val MINIMUM_LARGEST_PART = 0.5

class LoadPatternTest : StringSpec({
    "burst: at 1.7 times the capacity more is served, and no organisation, kind or size starves" {
        // Guards against work on requests that are over before their answer, and against classes that get no turn.
        val pattern = LoadPattern(usualLoad = 0.8, load = 1.7)
        val (before, after) = play("burst", pattern)
        after.share() shouldBeGreaterThan before.share()
        after.shouldServeEachClass()
    }

    "hot organisation: seven times the usual rate of one takes nothing from the others" {
        // Guards against an organisation whose excess crowds out the others.
        val pattern = LoadPattern(usualLoad = 0.95, hotOrganisation = 0)
        val (before, after) = play("hot organisation", pattern)
        after.lowestOrganisation { it != 0 } shouldBeGreaterThan before.lowestOrganisation { it != 0 }
        val usual = LoadedGroup(pattern.copy(hotOrganisation = null), isQueueing = true).run()
        listOf("before" to before, "after" to after, "after, without the excess" to usual).forEach { (name, outcome) ->
            val others = outcome.share { it.organisation != 0 }
            val hot = outcome.share { it.organisation == 0 }
            println("hot organisation, %s: others %.2f, hot %.2f".format(name, others, hot))
        }
        after.share { it.organisation != 0 } shouldBeGreaterThan 0.95 * usual.share { it.organisation != 0 }
        after.share { it.organisation == 0 } shouldBeGreaterThanOrEqual MINIMUM_CLASS_PART * after.share()
    }

    "hot subject: requests of a prompt subject with 28% of the traffic are served as often as others" {
        // Guards against a subject that waits behind itself.
        val pattern = LoadPattern(usualLoad = 0.8, load = 1.4, hotSubjectPercent = 28)
        val (_, after) = play("hot subject", pattern)
        after.share { it.isHotSubject } shouldBeGreaterThan 0.8 * after.share { !it.isHotSubject }
        after.shouldServeEachClass()
    }

    "repeating callers: three immediate repeats of each refused request change little for the rest" {
        // Guards against repeated attempts that take the room of first ones.
        val pattern = LoadPattern(usualLoad = 0.8, load = 1.7, repeats = 3)
        val (before, after) = play("repeating callers", pattern)
        after.share() shouldBeGreaterThan before.share()
        after.shouldServeEachClass()
        after.share() shouldBeGreaterThan 0.9 * LoadedGroup(pattern.copy(repeats = 0), isQueueing = true).run().share()
    }

    "a third of the upstreams gone: the rest serves what it can, and each class gets its part" {
        // Guards against a queue that goes on by the capacity of before and answers everything late.
        val pattern = LoadPattern(usualLoad = 0.9, slots = SLOTS * 2 / 3)
        val (before, after) = play("a third gone", pattern)
        after.share() shouldBeGreaterThan before.share()
        after.share() shouldBeGreaterThan 0.65
        after.shouldServeEachClass()
    }

    "the queue stays short and times to return are spread" {
        // Guards against a queue that only the longest deadlines bound, and against callers that return together.
        val group = LoadedGroup(LoadPattern(usualLoad = 0.8, load = 1.7), isQueueing = true)
        group.run()
        group.longestQueue shouldBeLessThan 1_000
        group.retryTimes.distinct().size.toDouble() shouldBeGreaterThan 100.0
    }
})

private fun play(name: String, pattern: LoadPattern): Pair<Outcome, Outcome> {
    val before = LoadedGroup(pattern, isQueueing = false).run()
    val after = LoadedGroup(pattern, isQueueing = true).run()
    println("$name before: $before")
    println("$name after: $after")
    return before to after
}

private fun Outcome.shouldServeEachClass() {
    lowestOrganisation() shouldBeGreaterThanOrEqual MINIMUM_CLASS_PART * share()
    lowestKind() shouldBeGreaterThanOrEqual MINIMUM_CLASS_PART * share()
    lowestLargest() shouldBeGreaterThanOrEqual MINIMUM_LARGEST_PART
}
