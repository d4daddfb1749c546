package org.ibismoor.forwarding

import io.kotest.core.spec.style.StringSpec

private const val SEPARATED_ROUTER = 3
private const val SEPARATED_MILLIS = 1_000L
private const val DOWN_MILLIS = 300L
private const val POWER_LOSS_MILLIS = 600L

class ContinuedStreamVersionTest : StringSpec({
    "callers that take a stream up at any router get events of one version" {
        // Guards against a continuation that is sent as a new request, to any version that serves.
        checkContinuedStreams { it.resetCallersFor(6_000) }
    }

    "callers get events of one version while upstreams reset connections too" {
        // Guards against a version that is lost when a router and then a caller go on with the same stream.
        checkContinuedStreams { fleet ->
            repeat(10) {
                fleet.engines.reset(fleet.list[fleet.random.nextInt(fleet.list.size)].id)
                fleet.resetCallersFor(300)
            }
        }
    }

    "callers of a killed router get events of one version" {
        // Guards against a version that only the router knows that began the stream.
        checkContinuedStreams { fleet ->
            repeat(6) {
                fleet.killRouter(fleet.random.nextInt(STREAM_ROUTERS), DOWN_MILLIS)
                fleet.run(1_000)
            }
        }
    }

    "callers get events of one version after a loss of power of all routers and control" {
        // Guards against versions of streams that only processes without a log know.
        checkContinuedStreams { fleet ->
            fleet.run(fleet.random.nextLong(1_000))
            fleet.losePower(POWER_LOSS_MILLIS)
            fleet.run(3_000)
        }
    }

    "callers get events of one version after a loss of power shortly after the old one has left the list" {
        // Guards against a fleet that sees one version after its return and takes each stream for one of that version.
        checkContinuedStreams(OLD_ENGINES) { fleet ->
            replaceOldVersion(fleet)
            fleet.run(fleet.random.nextLong(500))
            fleet.losePower(POWER_LOSS_MILLIS)
            OLD_ENGINES.forEach { fleet.engines.stop(it.id) }
            fleet.run(3_000)
        }
    }

    "a continuation that the fleet cannot know is refused while two versions serve" {
        // Guards against a call that names no first call, or one of long ago, and goes on at any version.
        checkRefused(startedFleets().flatMap { it.sendUnknown() })
    }

    "a continuation that the fleet cannot know is refused after the old version has left" {
        // Guards against streams of the old version whose callers come back when only the new one is listed.
        val calls = startedFleets().flatMap { fleet ->
            replaceOldVersion(fleet)
            fleet.run(1_000)
            fleet.losePower(POWER_LOSS_MILLIS)
            fleet.run(3_000)
            fleet.sendUnknown()
        }
        checkRefused(calls)
    }

    "a router without contact with control sends no unknown continuation after a new version has appeared" {
        // Guards against a separated router that knows one version only, while others serve elsewhere.
        val calls = List(FLEET_SEEDS) { startStreamFleet(it, OLD_ENGINES) }.flatMap { fleet ->
            fleet.separateBeforeNewVersion()
            fleet.run(1_000)
            fleet.sendUnknown(SEPARATED_ROUTER)
        }
        checkRefused(calls)
    }

    "callers get events of one version while a router has no contact with control and a new version appears" {
        // Guards against streams of the new version that are taken up at a router that does not know of it.
        checkContinuedStreams(OLD_ENGINES) { fleet ->
            fleet.separateBeforeNewVersion()
            fleet.resetCallersFor(5_000)
        }
    }
})

private fun startedFleets(): List<StreamFleet> = List(FLEET_SEEDS) { startStreamFleet(it, OLD_ENGINES + NEW_ENGINES) }

private fun StreamFleet.separateBeforeNewVersion() {
    cutOff = setOf(SEPARATED_ROUTER)
    run(SEPARATED_MILLIS)
    list = OLD_ENGINES + NEW_ENGINES
}

/** Lists the new version beside the old one, and after two seconds only the new one. Old streams go on meanwhile. */
private fun replaceOldVersion(fleet: StreamFleet) {
    fleet.list = OLD_ENGINES + NEW_ENGINES
    fleet.run(2_000)
    fleet.list = OLD_ENGINES.map { it.copy(isLeaving = true) } + NEW_ENGINES
    fleet.run(300)
    fleet.list = NEW_ENGINES
}
