package org.ibismoor.soak.crowd

import io.kotest.core.spec.style.StringSpec
import io.kotest.engine.spec.tempdir
import io.kotest.matchers.shouldBe
import org.ibismoor.testing.CallerPattern
import org.ibismoor.testing.CallerPatterns
import org.ibismoor.testing.CrowdCheck
import org.ibismoor.testing.ProcessBounds

/** Connections at a time: enough for several times the heap at the legal sizes, few enough for a small machine. */
internal const val HEAD_CONNECTIONS = 400
internal const val BODY_CONNECTIONS = 64
internal const val CROWD_SECONDS = 4

/** Half of a VM with 330 MB, on which two processes run; and three descriptors for each connection of the crowd. */
internal val BOUNDS = ProcessBounds(bytes = 165L * 1024 * 1024, descriptors = 3 * HEAD_CONNECTIONS)

/** Guards against callers that end a router, or keep it from serving others, with what they make it hold. */
class RouterCrowdTest : StringSpec({
    "a router outlives heads of very many short lines" { crowd("short lines", HEAD_CONNECTIONS) { shortLines } }

    "a router outlives odd lines" { crowd("odd lines", HEAD_CONNECTIONS) { oddLines } }

    "a router outlives endless trailers" { crowd("trailers", HEAD_CONNECTIONS) { trailers } }

    "a router outlives many large bodies at the same time" { crowd("bodies", BODY_CONNECTIONS) { wholeBodies } }

    "a router outlives large bodies that stop just short of their end" {
        crowd("unfinished bodies", BODY_CONNECTIONS) { unfinishedBodies }
    }

    "a router outlives all of them together with slow readers" { crowd("all", HEAD_CONNECTIONS) { all } }
})

private fun StringSpec.crowd(name: String, connections: Int, patterns: CallerPatterns.() -> List<CallerPattern>) =
    CrowdFleet(tempdir().toPath()).use { fleet ->
        awaitPublication(fleet)
        val sent = CallerPatterns(fleet.requestStart).patterns()
        CrowdCheck(fleet.router, BOUNDS, fleet::isRequestServed)
            .run("router, $name", fleet.routerAddress, sent, connections, CROWD_SECONDS)
    }

internal fun awaitPublication(fleet: CrowdFleet) {
    val isPublished = generateSequence { fleet.publish() }.take(PUBLICATION_TRIES).firstOrNull { isPublished ->
        if (!isPublished) Thread.sleep(RETRY_MILLIS)
        isPublished
    }
    isPublished shouldBe true
}

private const val PUBLICATION_TRIES = 100
private const val RETRY_MILLIS = 200L
