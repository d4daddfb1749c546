/**
 * Checks of the versions that the callers of a simulated fleet get when they take up broken streams.
 */
package org.ibismoor.forwarding

import io.kotest.assertions.withClue
import io.kotest.matchers.ints.shouldBeGreaterThanOrEqual
import io.kotest.matchers.shouldBe
import org.ibismoor.coordination.api.UpstreamEntry
import org.ibismoor.forwarding.api.ForwardingConfiguration

internal const val FLEET_SEEDS = 6
private const val STREAMS_PER_SECOND = 12
private const val COUNTED_TAKE_UPS = 12
private const val UNKNOWN_CALLS = 12

/** A caller tries three times and waits up to 1.8 s before each. */
private const val LAST_TRIES_MILLIS = 5_500L

internal val OLD_ENGINES = engines("old", FIRST_VERSION, count = 4)
internal val NEW_ENGINES = engines("new", SECOND_VERSION, count = 4)

/**
 * Lets [disturb] disturb a fleet with [entries] for each seed. No stream may get events of two versions, and half of
 * the take-ups of streams whose version is still listed have to go on.
 */
internal fun checkContinuedStreams(
    entries: List<UpstreamEntry> = OLD_ENGINES + NEW_ENGINES,
    configuration: ForwardingConfiguration = configurationOf(1, null),
    disturb: (StreamFleet) -> Unit,
) {
    val fleets = List(FLEET_SEEDS) { seed ->
        startStreamFleet(seed, entries, configuration).also(disturb).also(::awaitLastTries)
    }
    val mixed = fleets.map { fleet -> fleet.callers.streams.count { it.versions.size > 1 } }
    val takeUps = fleets.flatMap(::countedTakeUps)
    val continued = takeUps.count { it.hasGoneOn }
    withClue("streams of two versions by seed: $mixed; $continued of ${takeUps.size} counted take-ups went on") {
        takeUps.size shouldBeGreaterThanOrEqual COUNTED_TAKE_UPS
        mixed.sum() shouldBe 0
        continued * 2 shouldBeGreaterThanOrEqual takeUps.size
    }
}

/** A fleet in which callers have begun streams for a while. */
internal fun startStreamFleet(
    seed: Int,
    entries: List<UpstreamEntry>,
    configuration: ForwardingConfiguration = configurationOf(1, null),
): StreamFleet {
    val fleet = StreamFleet(seed, entries, configuration)
    fleet.run(2_000)
    fleet.streamsPerSecond = STREAMS_PER_SECOND
    fleet.run(2_500)
    return fleet
}

/** Resets connections of callers again and again for [millis]. */
internal fun StreamFleet.resetCallersFor(millis: Long) {
    val end = now + millis
    while (now < end) {
        resetCallers(percent = 30)
        run(300)
    }
}

/** Sends calls that name an unknown first call, and others that name none, to [router] or to any one. */
internal fun StreamFleet.sendUnknown(router: Int? = null): List<StreamCall> {
    val calls = List(UNKNOWN_CALLS) { callers.continueUnknown("unknown-call-$it".takeIf { _ -> it % 2 == 0 }) }
    calls.forEach { if (router == null) send(it) else send(it, router) }
    awaitLastTries(this)
    return calls
}

/** Checks that all [calls] are refused as not run and have reached no upstream. */
internal fun checkRefused(calls: List<StreamCall>) {
    val sent = calls.count { it.attempts.isNotEmpty() }
    withClue("$sent of ${calls.size} unknown continuations reached an upstream") {
        calls.count { it.isRefusedAsNotRun } shouldBe calls.size
    }
}

private fun awaitLastTries(fleet: StreamFleet) {
    fleet.streamsPerSecond = 0
    fleet.run(LAST_TRIES_MILLIS)
}

private fun countedTakeUps(fleet: StreamFleet): List<TakeUp> {
    val listedVersions = fleet.list.map { it.version }
    return fleet.callers.takeUps.filter { it.stream.versions.first() in listedVersions }
}
