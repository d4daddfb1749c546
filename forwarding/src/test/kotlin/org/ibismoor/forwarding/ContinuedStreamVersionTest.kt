package org.ibismoor.forwarding

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe

private const val SEEDS = 6
private const val STREAMS_PER_SECOND = 12
private const val COUNTED_TAKE_UPS = 12

/** A caller tries three times and waits up to 1.8 s before each. */
private const val LAST_TRIES_MILLIS = 5_500L

private val OLD = engines("old", FIRST_VERSION, count = 4)
private val NEW = engines("new", SECOND_VERSION, count = 4)

class ContinuedStreamVersionTest : StringSpec({
    "callers that take a stream up at any router get events of one version" {
        // Guards against a continuation that is sent as a new request, to any version that serves.
        checkContinuedStreams { fleet ->
            repeat(10) {
                fleet.resetCallers(percent = 30)
                fleet.run(600)
            }
        }
    }
})

/** Lets [disturb] disturb a fleet of two versions and checks which versions the streams got, and how many went on. */
private fun checkContinuedStreams(disturb: (StreamFleet) -> Unit) {
    val fleets = List(SEEDS) { seed ->
        val fleet = StreamFleet(seed, OLD + NEW)
        fleet.run(2_000)
        fleet.streamsPerSecond = STREAMS_PER_SECOND
        fleet.run(2_500)
        disturb(fleet)
        fleet.streamsPerSecond = 0
        fleet.run(LAST_TRIES_MILLIS)
        fleet
    }
    val mixed = fleets.map { fleet -> fleet.callers.streams.count { it.versions.size > 1 } }
    val takeUps = fleets.flatMap { it.callers.takeUps }
    val continued = takeUps.count { it.hasGoneOn }
    withClue("streams of two versions by seed: $mixed; $continued of ${takeUps.size} taken up went on") {
        takeUps.size shouldBeGreaterThanOrEqual COUNTED_TAKE_UPS * SEEDS
        mixed.sum() shouldBe 0
        continued * 2 shouldBeGreaterThanOrEqual takeUps.size
    }
}
