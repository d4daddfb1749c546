package org.ibismoor.forwarding

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.shouldBe

class SingleVersionStreamTest : StringSpec({
    "an unknown continuation goes on while one version has ever been listed" {
        // Guards against refusals of streams that can have begun at no other version.
        val calls = List(FLEET_SEEDS) { startStreamFleet(it, OLD_ENGINES) }.flatMap { it.sendUnknown() }
        withClue("${calls.count { it.hasEvents }} of ${calls.size} went on") {
            calls.count { it.hasEvents } shouldBe calls.size
        }
    }

    "streams of the only version go on after a loss of power" {
        // Guards against refusals of all take-ups, since no process knows the streams any more.
        checkContinuedStreams(OLD_ENGINES) { fleet ->
            fleet.losePower(downMillis = 600)
            fleet.run(3_000)
        }
    }
})
