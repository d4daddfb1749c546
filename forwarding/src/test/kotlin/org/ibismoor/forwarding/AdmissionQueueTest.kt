/**
 * Requests that wait at the router while no upstream has room. Each of the three engines takes two requests of a router
 * that knows nothing of its load.
 */
package org.ibismoor.forwarding

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.collections.shouldNotContain
import io.kotest.matchers.ints.shouldBeGreaterThan
import io.kotest.matchers.longs.shouldBeInRange
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.RequestDigest
import org.ibismoor.core.api.UpstreamId
import org.ibismoor.forwarding.api.AttemptSilent
import org.ibismoor.forwarding.api.AvailabilityAnnounced
import org.ibismoor.forwarding.api.CallerDisconnected
import org.ibismoor.forwarding.api.DecisionKind
import org.ibismoor.forwarding.api.Delivered
import org.ibismoor.forwarding.api.DrainStarted
import org.ibismoor.forwarding.api.ForwardingTimes
import org.ibismoor.forwarding.api.LoadPolicies
import org.ibismoor.forwarding.api.LogDecision
import org.ibismoor.forwarding.api.NotExecuted
import org.ibismoor.forwarding.api.PolicySwitch
import org.ibismoor.forwarding.api.ReportedLoad
import org.ibismoor.forwarding.api.RequestNumber

private const val ROOM = 6
private val QUEUEING = LoadPolicies(admissionQueue = PolicySwitch.ON)
private val DONE = Delivered(events = 1, load = null)
private val FULL = ReportedLoad(running = 4, waiting = 6, slots = 4)
private val IDLE = ReportedLoad(running = 0, waiting = 0, slots = 4)

class AdmissionQueueTest : StringSpec({
    "without the setting each request is sent at once" {
        // Guards against deployments in service that begin to queue.
        val router = RouterHarness().start()
        router.send(5 * ROOM).forEach { router.attemptsOf(it) shouldHaveSize 1 }
        router.queued shouldBe 0
    }

    "a request waits while no upstream has room, and goes out when an answer ends" {
        // Guards against attempts that a full upstream refuses, and against requests that wait although there is room.
        val router = queueingRouter()
        val first = router.send(ROOM)
        val late = router.send(2)
        first.forEach { router.attemptsOf(it) shouldHaveSize 1 }
        late.forEach { router.attemptsOf(it).shouldBeEmpty() }
        router.queued shouldBe 2
        router.endAttempt(first[0], DONE)
        late.sumOf { router.attemptsOf(it).size } shouldBe 1
        router.endAttempt(first[1], DONE)
        late.forEach { router.attemptsOf(it) shouldHaveSize 1 }
        router.queued shouldBe 0
        router.decisions(DecisionKind.REQUEST_QUEUED) shouldBe 2
    }

    "an upstream that reported a long queue gets nothing until the report is outdated" {
        // Guards against requests at a full upstream while others have room.
        val router = queueingRouter()
        val engine = router.reportLoad(FULL)
        val sent = router.send(ROOM).filter { router.attemptsOf(it).isNotEmpty() }
        sent shouldHaveSize ROOM - 2
        sent.map { router.attemptsOf(it).single().upstream.id } shouldNotContain engine
        router.advance(2_000)
        router.queued shouldBe 0
    }

    "an upstream that reported free slots gets more than the own part" {
        // Guards against a router that leaves free slots unused.
        val router = queueingRouter()
        router.reportLoad(IDLE)
        router.send(ROOM + 3).forEach { router.attemptsOf(it) shouldHaveSize 1 }
    }

    "with auto, the queue is used for groups whose upstreams report the duration of work" {
        // Guards against a queue on deployments whose upstreams report no such figure.
        val router = RouterHarness(policies = LoadPolicies(admissionQueue = PolicySwitch.AUTO)).start()
        router.send(ROOM + 1)
        router.queued shouldBe 0
        router.endAttempt(RequestNumber(1), Delivered(1, IDLE.copy(workTimePercent = 100)))
        router.send(4 * ROOM)
        router.queued shouldBeGreaterThan 0
        router.sendRequest("/status/1").let { router.attemptsOf(it) shouldHaveSize 1 }
    }

    "a request that cannot be answered in time is refused at once as not run" {
        // Guards against requests that are held until their deadline, and against callers that all return together.
        val router = queueingRouter().apply { serve(rounds = 20, millis = 1_000) }
        val waiting = router.send(ROOM)
        val late = List(20) { router.sendRequest("/review/late", deadlineMillis = 1_300) }
        val refusals = late.mapNotNull(router::refusalOf)
        refusals.size shouldBeGreaterThan 10
        refusals.forEach {
            it.reason shouldBe RefusalReason.QUEUE_DEADLINE
            it.outcome shouldBe Outcome.NOT_RUN
            it.retryAfterMillis.shouldNotBeNull() shouldBeInRange 200L..430L
        }
        refusals.map { it.retryAfterMillis }.distinct().size shouldBeGreaterThan 5
        waiting.forEach { router.attemptsOf(it) shouldHaveSize 1 }
    }

    "a request whose time to be sent has come is refused as not run, before its deadline" {
        // Guards against requests that wait past what the work needs.
        val router = queueingRouter().apply { serve(rounds = 20, millis = 1_000) }
        router.send(ROOM)
        val number = router.sendRequest("/review/late", deadlineMillis = 3_000)
        router.refusalOf(number).shouldBeNull()
        router.advance(2_200)
        router.refusalOf(number)?.reason shouldBe RefusalReason.QUEUE_DEADLINE
        router.refusalOf(number)?.outcome shouldBe Outcome.NOT_RUN
        router.queued shouldBe 0
    }

    "a request that an upstream refused waits behind others" {
        // Guards against retries that take the room of first attempts.
        val router = queueingRouter()
        val sent = router.send(ROOM)
        val waiting = router.send(1).single()
        router.endAttempt(sent[0], NotExecuted(503, isOtherUpstream = false, load = FULL))
        router.attemptsOf(waiting).shouldBeEmpty()
        router.attemptsOf(sent[0]) shouldHaveSize 1
        sent.drop(1).forEach { router.endAttempt(it, Delivered(1, IDLE)) }
        router.attemptsOf(waiting) shouldHaveSize 1
        router.attemptsOf(sent[0]) shouldHaveSize 2
        router.sentAttempts.indexOf(router.attemptsOf(waiting).single()) shouldBe ROOM
    }

    "a caller that returns earlier than it was told waits behind others" {
        // Guards against callers that repeat at once and so get the room of those who wait.
        val router = queueingRouter().apply { serve(rounds = 40, millis = 500) }
        val digest = RequestDigest("again")
        val sent = router.send(ROOM)
        router.sendRequest("/review/1", deadlineMillis = 150, digest = digest)
        val repeated = router.sendRequest("/review/1", digest = digest)
        val other = router.send(1).single()
        router.endAttempt(sent[0], DONE)
        router.attemptsOf(repeated).shouldBeEmpty()
        router.attemptsOf(other) shouldHaveSize 1
    }

    "a second attempt beside a silent one is not queued" {
        // Guards against a silent attempt whose answer is dropped since the request waits elsewhere.
        val router = queueingRouter()
        val numbers = List(ROOM) { router.sendRequest("/chat/$it") }
        router.post(AttemptSilent(numbers[0], attempt = 1, silence = 1, isResumable = true))
        router.queued shouldBe 0
        router.attemptsOf(numbers[0]) shouldHaveSize 1
        router.endAttempt(numbers[0], DONE)
        router.refusalOf(numbers[0]).shouldBeNull()
        router.tables.requests.containsKey(numbers[0]) shouldBe false
    }

    "a caller that leaves frees its place in the queue" {
        // Guards against requests that are sent for callers who have left, and against a router that never sleeps.
        val router = queueingRouter()
        router.send(ROOM)
        val number = router.send(1).single()
        router.post(CallerDisconnected(number, 0))
        router.queued shouldBe 0
        router.advance(100)
        router.tables.roomCheckDueAt.shouldBeNull()
    }

    "with a third of the upstreams gone the queue goes on at the others, and each request ends" {
        // Guards against requests that wait for upstreams which are gone, and against a refusal that may have run.
        val router = queueingRouter()
        val sent = router.send(ROOM)
        val waiting = router.send(4)
        router.listUpstreams(upstreams().filter { it.id != UpstreamId("engine-0") })
        val left = sent.filter { router.attemptsOf(it).single().upstream.id != UpstreamId("engine-0") }
        left.forEach { router.endAttempt(it, DONE) }
        waiting.forEach { number ->
            router.attemptsOf(number).single().upstream.id shouldNotBe UpstreamId("engine-0")
        }
        val late = router.send(3)
        router.advance(6_000)
        late.forEach { router.refusalOf(it)?.outcome shouldBe Outcome.NOT_RUN }
        router.queued shouldBe 0
    }

    "queued requests are refused at once when all upstreams leave" {
        // Guards against requests that are held although nothing will serve them.
        val router = queueingRouter()
        router.send(ROOM)
        val number = router.send(1).single()
        List(3) { UpstreamId("engine-$it") }
            .forEach { router.post(AvailabilityAnnounced(it, isLeaving = true, pauseMillis = null)) }
        router.refusalOf(number)?.reason shouldBe RefusalReason.NO_UPSTREAM
        router.refusalOf(number)?.outcome shouldBe Outcome.NOT_RUN
    }

    "a router that drains sends or refuses its whole queue" {
        // Guards against queued requests that are cut off at the end of a planned stop.
        val router = queueingRouter()
        val sent = router.send(ROOM)
        val long = router.sendRequest("/review/long", deadlineMillis = 10_000)
        val short = router.sendRequest("/review/short", deadlineMillis = 3_000)
        router.advance(20)
        router.post(DrainStarted)
        val late = router.sendRequest("/review/new", deadlineMillis = 2_000)
        router.refusalOf(late)?.reason shouldBe RefusalReason.DRAINING
        router.refusalOf(late)?.retryAfterMillis shouldBe 40
        sent.take(2).forEach { router.endAttempt(it, DONE) }
        listOf(long, short).forEach { router.attemptsOf(it) shouldHaveSize 1 }
    }

    "a router that drains refuses queued requests that may outlast the drain" {
        // Guards against requests that wait at a router that ends before them, while another one could serve them.
        val router = RouterHarness(
            policies = QUEUEING,
            times = ForwardingTimes(maximumDrainMillis = 2_000),
        ).start()
        router.send(ROOM)
        val number = router.send(1).single()
        router.post(DrainStarted)
        router.refusalOf(number)?.reason shouldBe RefusalReason.DRAINING
        router.refusalOf(number)?.outcome shouldBe Outcome.NOT_RUN
    }

    "the request bytes in flight at one upstream stay within the router's part" {
        // Guards against an upstream whose memory the requests that it holds exceed.
        val router = RouterHarness(policies = QUEUEING.copy(maximumUpstreamBytes = 4_000)).start()
        val large = List(4) { router.sendBody("/review/$it", 800) }
        large.count { router.attemptsOf(it).isNotEmpty() } shouldBe 3
        router.tables.upstreams.values.maxOf { it.inFlightBytes } shouldBe 800
        router.endAttempt(large[0], DONE)
        large.forEach { router.attemptsOf(it) shouldHaveSize 1 }
        router.sendBody("/review/small", 100).let { router.attemptsOf(it) shouldHaveSize 1 }
    }
})

private fun queueingRouter(): RouterHarness = RouterHarness(policies = QUEUEING).start()

private val RouterHarness.queued: Int get() = tables.admission.queued.size

private fun RouterHarness.send(count: Int): List<RequestNumber> = List(count) { sendRequest("/review/$it") }

/** Lets an engine answer a request with [load], and returns the engine. */
private fun RouterHarness.reportLoad(load: ReportedLoad): UpstreamId {
    val number = send(1).single()
    endAttempt(number, Delivered(1, load))
    return attemptsOf(number).single().upstream.id
}

/** Serves requests that each take [millis]. */
private fun RouterHarness.serve(rounds: Int, millis: Long) = repeat(rounds) {
    val number = send(1).single()
    advance(millis)
    endAttempt(number, DONE)
}

private fun RouterHarness.decisions(kind: DecisionKind): Int =
    effects.filterIsInstance<LogDecision>().count { it.decision.kind == kind }
