package org.ibismoor.forwarding

import io.kotest.core.spec.style.StringSpec

private const val ROUTERS = 6
private const val SEPARATED_MILLIS = 6_000L
private const val ATTACK_MILLIS = 16_000L

class DeadlyRequestWithoutControlTest : StringSpec({
    "a fleet without control for some seconds keeps a deadly request from the upstreams" {
        // Guards against routers that each have to see the crashes themselves.
        checkAllSeeds { fleet ->
            fleet.cutOff = (0 until ROUTERS).toSet()
            fleet.run(SEPARATED_MILLIS)
            fleet.cutOff = emptySet()
            fleet.run(ATTACK_MILLIS)
        }
    }
})
