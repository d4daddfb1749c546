package org.ibismoor.soak.crowd

import io.kotest.core.spec.style.StringSpec
import io.kotest.engine.spec.tempdir
import org.ibismoor.testing.CallerPattern
import org.ibismoor.testing.CallerPatterns
import org.ibismoor.testing.CrowdCheck

private const val START = "POST /config/put HTTP/1.1\r\nHost: control\r\n"

/** Guards against callers of the operators' address that end a control process or keep operators from it. */
class ControlCrowdTest : StringSpec({
    "a control process outlives heads of very many short lines" {
        crowd("short lines", HEAD_CONNECTIONS) { shortLines }
    }

    "a control process outlives odd lines" { crowd("odd lines", HEAD_CONNECTIONS) { oddLines } }

    "a control process outlives endless trailers" { crowd("trailers", HEAD_CONNECTIONS) { trailers } }

    "a control process outlives many large bodies at the same time" {
        crowd("bodies", BODY_CONNECTIONS) { wholeBodies }
    }

    "a control process outlives large bodies that stop just short of their end" {
        crowd("unfinished bodies", BODY_CONNECTIONS) { unfinishedBodies }
    }

    "a control process outlives all of them together with slow readers" { crowd("all", HEAD_CONNECTIONS) { all } }
})

private fun StringSpec.crowd(name: String, connections: Int, patterns: CallerPatterns.() -> List<CallerPattern>) =
    CrowdFleet(tempdir().toPath()).use { fleet ->
        awaitPublication(fleet)
        CrowdCheck(fleet.control, BOUNDS, fleet::isControlAnswering)
            .run("control, $name", fleet.controlAddress, CallerPatterns(START).patterns(), connections, CROWD_SECONDS)
    }
