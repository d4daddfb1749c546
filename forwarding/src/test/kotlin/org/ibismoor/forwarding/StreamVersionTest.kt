package org.ibismoor.forwarding

import io.kotest.assertions.withClue
import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContainExactly
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.ibismoor.coordination.api.UpstreamEntry
import org.ibismoor.core.api.SoftwareVersion
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.forwarding.api.AttemptEnded
import org.ibismoor.forwarding.api.AttemptSilent
import org.ibismoor.forwarding.api.FailureRow
import org.ibismoor.forwarding.api.FirstEventArrived
import org.ibismoor.forwarding.api.NotExecuted
import org.ibismoor.forwarding.api.NotSent
import org.ibismoor.forwarding.api.RequestNumber

private const val SEEDS = 40L
private const val BUSY_STREAMS = 6

private val MIXED_ENGINES = mixedEngines(seed = 0)
private val LONE_ENGINE = engines("old", FIRST_VERSION, count = 1) + engines("new", SECOND_VERSION, count = 6)

class StreamVersionTest : StringSpec({
    "a stream that breaks off is retried only at the version that began it" {
        // Guards against an answer whose end comes from another software version than its beginning.
        checkAllSeeds { router, number -> router.endAttempt(number, STARTED_LOSS) }
    }

    "a stream whose upstream is silent is sent only to the version that began it" {
        // Guards against an answer whose end comes from another version since the attempt beside the silent one began.
        checkAllSeeds { router, number -> router.post(AttemptSilent(number, 1, silence = 1, isResumable = true)) }
    }

    "a stream goes on at a busy upstream of its version beside idle ones of another" {
        // Guards against a selection that prefers the load of an upstream to its version.
        val router = RouterHarness().start(entries = MIXED_ENGINES.filter { it.version == FIRST_VERSION })
        val lost = router.beginStream()
        val silent = router.beginStream()
        repeat(BUSY_STREAMS) { router.beginStream() }
        router.listUpstreams(MIXED_ENGINES)
        router.endAttempt(lost, STARTED_LOSS)
        router.post(AttemptSilent(silent, 1, silence = 1, isResumable = true))
        router.versionsOf(lost) shouldContainExactly listOf(FIRST_VERSION, FIRST_VERSION)
        router.versionsOf(silent) shouldContainExactly listOf(FIRST_VERSION, FIRST_VERSION)
    }

    "a stream that breaks off at the last upstream of its version is refused" {
        // Guards against an answer that goes on at another version since none of its own is left.
        val router = RouterHarness().start(entries = LONE_ENGINE.take(1))
        val number = router.beginStream()
        router.listUpstreams(LONE_ENGINE)
        router.endAttempt(number, STARTED_LOSS)
        router.versionsOf(number) shouldContainExactly listOf(FIRST_VERSION)
        router.refusalOf(number).shouldNotBeNull()
        router.tables.requests.size shouldBe 0
    }

    "a stream that is silent at the last upstream of its version stays there" {
        // Guards against a second attempt at another version, and against an answer that ends since there is no other.
        val router = RouterHarness().start(entries = LONE_ENGINE.take(1))
        val number = router.beginStream()
        router.listUpstreams(LONE_ENGINE)
        repeat(2) { router.post(AttemptSilent(number, 1, silence = 1, isResumable = true)) }
        router.versionsOf(number) shouldContainExactly listOf(FIRST_VERSION)
        router.refusals.shouldBeEmpty()
        router.tables.upstreams.values.sumOf { it.inFlight } shouldBe 1
    }

    "a stream goes on at the version that began it and not at the one that was tried first" {
        // Guards against a version that is taken from the first attempt, which may have brought no event.
        checkSecondVersionBegins { router, number ->
            router.post(AttemptSilent(number, 1, silence = 1, isResumable = true))
            router.post(AttemptEnded(number, 1, UNSTARTED_LOSS))
        }
        checkSecondVersionBegins { router, number -> router.endAttempt(number, UNSTARTED_LOSS) }
        checkSecondVersionBegins { router, number -> router.endAttempt(number, NotExecuted(503, false, load = null)) }
    }

    "a stream keeps the version of its upstream when that comes back with another one" {
        // Guards against a version that is read from the newest list, which names the successor of the upstream.
        val moves = (0 until SEEDS).map { seed ->
            val old = mixedEngines(seed).take(2)
            val router = RouterHarness(seed = seed).start(entries = old.take(1))
            val number = router.sendStream()
            router.listUpstreams(mixedEngines(seed).drop(1) + old[0].copy(version = SECOND_VERSION))
            router.post(FirstEventArrived(number, 1, null))
            router.endAttempt(number, STARTED_LOSS)
            router.versionsOf(number)
        }
        checkMoves(moves)
    }

    "an upstream that comes back under its identifier with another version is another upstream" {
        // Guards against an ejection, and against cached prompt parts, that outlive the process to which they belong.
        val entry = upstream("engine-0", version = FIRST_VERSION)
        val router = RouterHarness().start(entries = listOf(entry))
        repeat(3) { router.endAttempt(router.sendStream(), NotSent("connect")) }
        (router.failuresOf(entry.id).ejectedUntil > router.now) shouldBe true
        router.listUpstreams(listOf(entry.copy(version = SECOND_VERSION)))
        router.failuresOf(entry.id) shouldBe FailureRow()
        router.tables.upstreams.getValue(entry.id).sentParts.size shouldBe 0
    }
})

/** Two engines of the first version and six of the second. The selection depends on their names, so these vary. */
private fun mixedEngines(seed: Long): List<UpstreamEntry> =
    engines("old-$seed", FIRST_VERSION, count = 2) + engines("new-$seed", SECOND_VERSION, count = 6)

/** Begins a stream in a router of each seed, lets [interrupt] interrupt it and checks where it goes on. */
private fun checkAllSeeds(interrupt: (RouterHarness, RequestNumber) -> Unit) {
    val moves = (0 until SEEDS).map { seed ->
        val router = RouterHarness(seed = seed).start(entries = mixedEngines(seed))
        val number = router.beginStream()
        interrupt(router, number)
        router.versionsOf(number)
    }
    checkMoves(moves)
}

/** Each of [moves] has the versions of a stream's attempts, of which there are two. */
private fun checkMoves(moves: List<List<SoftwareVersion>>) {
    val mixed = moves.count { it.distinct().size > 1 }
    withClue("of ${moves.size} streams ${moves.count { it.size == 2 }} went on, $mixed at another version") {
        mixed shouldBe 0
        moves.count { it.size == 2 } shouldBe moves.size
    }
}

/** [interrupt] ends the first attempt before its first event, and only the second version is left for the next one. */
private fun checkSecondVersionBegins(interrupt: (RouterHarness, RequestNumber) -> Unit) {
    val old = engines("old", FIRST_VERSION, count = 6)
    val new = engines("new", SECOND_VERSION, count = 2)
    val router = RouterHarness().start(configurationWithAttempts(4), old.take(1))
    val number = router.sendStream()
    router.listUpstreams(new)
    interrupt(router, number)
    router.post(FirstEventArrived(number, 2, null))
    router.listUpstreams(old + new)
    router.endAttempt(number, STARTED_LOSS)
    router.versionsOf(number) shouldContainExactly listOf(FIRST_VERSION, SECOND_VERSION, SECOND_VERSION)
}

private fun RouterHarness.failuresOf(id: UpstreamId): FailureRow = tables.upstreams.getValue(id).failures
