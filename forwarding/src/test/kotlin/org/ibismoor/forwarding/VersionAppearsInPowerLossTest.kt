package org.ibismoor.forwarding

import io.kotest.core.spec.style.StringSpec

private const val POWER_LOSS_MILLIS = 600L
private const val ROUTER_DOWN_MILLIS = 300L

class VersionAppearsInPowerLossTest : StringSpec({
    "streams of the only version go on after a loss of power in which a new version appears" {
        // Guards against refusals of all take-ups, since streams are recorded only once a group has two versions.
        checkContinuedStreams(OLD_ENGINES) { fleet ->
            fleet.losePower(POWER_LOSS_MILLIS)
            fleet.list = OLD_ENGINES + NEW_ENGINES
            fleet.run(3_000)
        }
    }

    "streams of the only version go on after a loss of power shortly after a new version has appeared" {
        // Guards against a version that is recorded before the streams that began without it.
        checkContinuedStreams(OLD_ENGINES) { fleet ->
            fleet.list = OLD_ENGINES + NEW_ENGINES
            fleet.run(fleet.random.nextLong(400))
            fleet.losePower(POWER_LOSS_MILLIS)
            fleet.run(3_000)
        }
    }

    "streams of the only version go on after most routers are killed shortly after a new version has appeared" {
        // Guards against streams that only the killed routers know, since they began without the new version.
        checkContinuedStreams(OLD_ENGINES) { fleet ->
            fleet.list = OLD_ENGINES + NEW_ENGINES
            fleet.run(fleet.random.nextLong(400))
            (1 until STREAM_ROUTERS).forEach { fleet.killRouter(it, ROUTER_DOWN_MILLIS) }
            fleet.run(3_000)
        }
    }
})
