/**
 * Upstreams that announce in their answers that they are leaving, or that ask for a pause.
 */
package org.ibismoor.forwarding

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.ints.shouldBeInRange
import io.kotest.matchers.shouldBe
import org.ibismoor.coordination.api.ReportAnswer
import org.ibismoor.coordination.api.UpstreamEntry
import org.ibismoor.coordination.api.UpstreamList
import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.forwarding.api.AvailabilityAnnounced
import org.ibismoor.forwarding.api.DecisionKind
import org.ibismoor.forwarding.api.Delivered
import org.ibismoor.forwarding.api.LogDecision
import org.ibismoor.forwarding.api.NotExecuted
import org.ibismoor.forwarding.api.NotSent
import org.ibismoor.forwarding.api.ReportAnswered

private const val MANY = 60
private const val ENGINE_COUNT = 60
private const val WAITING = 800
private val ENGINES = List(3) { UpstreamId("engine-$it") }
private val REFUSED = NotExecuted(503, isOtherUpstream = false, load = null)

class AvailabilityTest : StringSpec({
    "an upstream that announced its leave gets nothing new, whatever the list says" {
        // Guards against requests at a worker that ends, while the list lags or the router is cut off from control.
        val router = RouterHarness().start()
        router.leave(ENGINES[0])
        router.enginesOfRequests() shouldNotContain ENGINES[0]
        router.list(2, upstreams())
        router.isControlUnreachable = true
        router.advance(60_000)
        router.enginesOfRequests() shouldNotContain ENGINES[0]
    }

    "a new upstream at the address of one that left is used" {
        // Guards against an address that stays unused after its upstream was replaced.
        val router = RouterHarness().start()
        router.leave(ENGINES[0])
        val successor = upstreams().first().copy(id = UpstreamId("engine-9"))
        router.list(2, upstreams().drop(1) + successor)
        router.enginesOfRequests() shouldContain successor.id
    }

    "an upstream that was started again under its identifier is used" {
        // Guards against an upstream that stays unused for good after its planned restart.
        val router = RouterHarness().start()
        router.leave(ENGINES[0])
        router.list(2, upstreams().map { if (it.id == ENGINES[0]) it.copy(isLeaving = true) else it })
        router.enginesOfRequests() shouldNotContain ENGINES[0]
        router.list(3, upstreams())
        router.enginesOfRequests() shouldContain ENGINES[0]
    }

    "a request is refused at once as not run when all upstreams of its group are leaving" {
        // Guards against a request that is held until its deadline although nothing can serve it.
        val router = RouterHarness().start()
        ENGINES.forEach { router.leave(it) }
        val refusal = checkNotNull(router.refusalOf(router.sendRequest("/review/1")))
        refusal.reason shouldBe RefusalReason.NO_UPSTREAM
        refusal.outcome shouldBe Outcome.NOT_RUN
    }

    "an upstream in a pause gets nothing before its end, also if all others are ejected" {
        // Guards against requests at an upstream that asked for none, since ejected ones are used as a last resort.
        val router = RouterHarness().start()
        router.pause(ENGINES[0], 2_000)
        ENGINES.drop(1).forEach { engine -> router.failOn(engine) }
        router.enginesOfRequests() shouldNotContain ENGINES[0]
        router.advance(1_900)
        router.enginesOfRequests() shouldNotContain ENGINES[0]
        router.advance(1_200)
        router.enginesOfRequests() shouldContain ENGINES[0]
    }

    "a retry does not go to an upstream in a pause" {
        // Guards against a refused request that is sent again at once to an upstream that asked for a pause.
        val router = RouterHarness().start()
        val number = router.sendRequest("/chat/1")
        ENGINES.forEach { router.pause(it, 3_000) }
        router.endAttempt(number, REFUSED)
        router.attemptsOf(number) shouldHaveSize 1
        router.refusalOf(number)?.outcome shouldBe Outcome.NOT_RUN
    }

    "a request is refused with the shortest pause when all upstreams are in one" {
        // Guards against callers that return before any upstream takes requests again.
        val router = RouterHarness().start()
        ENGINES.forEachIndexed { number, engine -> router.pause(engine, 5_000L - number * 1_000) }
        router.refusalOf(router.sendRequest("/review/1"))?.retryAfterMillis shouldBe 3_000
    }

    "a pause is bounded, and a shorter one does not end a longer one" {
        // Guards against an upstream that a wrong value takes out of use for good.
        val router = RouterHarness().start()
        router.pause(ENGINES[0], Long.MAX_VALUE)
        router.pause(ENGINES[0], 1)
        router.pausedMillis(ENGINES[0]) shouldBe 300_000
        router.pause(ENGINES[1], 0)
        router.pausedMillis(ENGINES[1]) shouldBe null
    }

    "requests in flight rise gradually when all upstreams end a pause at once" {
        // Guards against a second refusal by upstreams that get all callers back in one moment.
        val router = RouterHarness().start(entries = List(ENGINE_COUNT) { upstream("many-$it") })
        router.tables.upstreams.keys.forEach { router.pause(it, 1_000) }
        router.advance(990)
        router.send(WAITING).shouldBeEmpty()
        router.advance(20)
        router.send(WAITING) shouldHaveSize ENGINE_COUNT
        router.advance(500)
        router.send(WAITING)
        router.maximumInFlight() shouldBeInRange 2..3
        router.advance(500)
        router.send(WAITING)
        router.maximumInFlight() shouldBeGreaterThan 3
    }

    "each start and end of a pause and each leave is logged once" {
        // Guards against a log from which nobody sees why an upstream gets nothing.
        val router = RouterHarness().start()
        repeat(3) { router.pause(ENGINES[0], 1_000) }
        repeat(3) { router.leave(ENGINES[1]) }
        router.advance(1_100)
        val kinds = router.effects.filterIsInstance<LogDecision>().map { it.decision.kind }
        listOf(DecisionKind.UPSTREAM_PAUSED, DecisionKind.UPSTREAM_RESUMED, DecisionKind.UPSTREAM_LEAVING)
            .forEach { kind -> kinds.count { it == kind } shouldBe 1 }
    }
})

private fun RouterHarness.leave(upstream: UpstreamId) =
    post(AvailabilityAnnounced(upstream, isLeaving = true, pauseMillis = null))

private fun RouterHarness.pause(upstream: UpstreamId, millis: Long) =
    post(AvailabilityAnnounced(upstream, isLeaving = false, pauseMillis = millis))

private fun RouterHarness.pausedMillis(upstream: UpstreamId): Long? =
    tables.upstreams.getValue(upstream).availability.pausedUntil?.let { it - now }

private fun RouterHarness.list(revision: Long, entries: List<UpstreamEntry>) =
    post(ReportAnswered(ReportAnswer(true, null, emptyList(), upstreams = UpstreamList(revision, entries)), null))

/** Sends [count] requests and returns the upstreams that got one. */
private fun RouterHarness.send(count: Int): List<UpstreamId> {
    val before = sentAttempts.size
    repeat(count) { sendRequest("/review/$it", prompt = promptOf(100, 10)) }
    return sentAttempts.drop(before).map { it.upstream.id }
}

/** The engines that get some of many requests, which all end. */
private fun RouterHarness.enginesOfRequests(): Set<UpstreamId> {
    val numbers = List(MANY) { sendRequest("/review/$it", prompt = promptOf(100, 10)) }
    val sent = numbers.filter { attemptsOf(it).isNotEmpty() }
    val engines = sent.map { attemptsOf(it).single().upstream.id }.toSet()
    sent.forEach { endAttempt(it, Delivered(events = 1, load = null)) }
    return engines
}

private fun RouterHarness.maximumInFlight(): Int = tables.upstreams.values.maxOf { it.inFlight }

/** Sends requests until [engine] got one, and lets that one fail to be sent. */
private fun RouterHarness.failOn(engine: UpstreamId) {
    repeat(MANY) {
        val number = sendRequest("/review/fail")
        val isThere = attemptsOf(number).lastOrNull()?.upstream?.id == engine
        if (isThere) return endAttempt(number, NotSent("connect"))
        endAttempt(number, Delivered(events = 1, load = null))
    }
    error("no request was sent to $engine")
}
