package org.ibismoor.forwarding

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.longs.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.forwarding.api.AnswerLost
import org.ibismoor.forwarding.api.AnsweredFailure
import org.ibismoor.forwarding.api.AttemptEnded
import org.ibismoor.forwarding.api.CallerDisconnected
import org.ibismoor.forwarding.api.CancelAttempt
import org.ibismoor.forwarding.api.Delivered
import org.ibismoor.forwarding.api.ForwardFailure
import org.ibismoor.forwarding.api.NotExecuted
import org.ibismoor.forwarding.api.NotSent

private val LOST = AnswerLost("reset", events = 0, isAnswerStarted = false, isResumable = false)

class AttemptTest : StringSpec({
    "a booking whose answer was lost is not sent again and may have run" {
        // Guards against running a booking twice.
        val router = RouterHarness().start()
        val number = router.sendRequest("/booking/1")
        router.endAttempt(number, LOST)
        router.attemptsOf(number) shouldHaveSize 1
        router.refusalOf(number)?.outcome shouldBe Outcome.MAY_HAVE_RUN
        router.refusalOf(number)?.retryAfterMillis.shouldBeNull()
    }

    "a booking that certainly did not run is sent to another upstream" {
        val router = RouterHarness().start()
        val number = router.sendRequest("/booking/1")
        router.endAttempt(number, NotExecuted(503, isOtherUpstream = false, load = null))
        val sentAttempts = router.attemptsOf(number)
        sentAttempts shouldHaveSize 2
        sentAttempts[0].upstream.id shouldNotBe sentAttempts[1].upstream.id
    }

    "a booking refused by as many upstreams as its route allows has not run and may be retried by its caller" {
        val router = RouterHarness().start()
        val number = router.sendRequest("/booking/1")
        repeat(2) { router.endAttempt(number, NotExecuted(503, isOtherUpstream = false, load = null)) }
        router.attemptsOf(number) shouldHaveSize 2
        router.refusalOf(number)?.outcome shouldBe Outcome.NOT_RUN
        router.refusalOf(number)?.retryAfterMillis shouldNotBe null
    }

    "a refusal after a lost answer reports that the request may have run" {
        // Guards against reporting the outcome of the last attempt only, when the first one may have run the request.
        val router = RouterHarness().start()
        val number = router.sendRequest("/status/1")
        router.endAttempt(number, LOST)
        router.endAttempt(number, NotExecuted(503, isOtherUpstream = false, load = null))
        router.refusalOf(number)?.outcome shouldBe Outcome.MAY_HAVE_RUN
    }

    "an idempotent request is retried after a server error and its second failure is forwarded to the caller" {
        val router = RouterHarness().start()
        val number = router.sendRequest("/status/1")
        router.endAttempt(number, AnsweredFailure(500, load = null))
        router.endAttempt(number, AnsweredFailure(500, load = null))
        router.attemptsOf(number) shouldHaveSize 2
        router.effects.filterIsInstance<ForwardFailure>() shouldHaveSize 1
    }

    "an unreachable upstream does not count towards the attempt limit of a route" {
        val router = RouterHarness().start()
        val number = router.sendRequest("/booking/1")
        repeat(2) { router.endAttempt(number, NotSent("connect")) }
        router.attemptsOf(number) shouldHaveSize 3
    }

    "a stream that cannot be resumed ends with INCOMPLETE_ANSWER when its answer is lost" {
        val router = RouterHarness().start()
        val number = router.sendRequest("/review/1", prompt = promptOf(100, 10))
        router.endAttempt(number, AnswerLost("reset", events = 2, isAnswerStarted = true, isResumable = true))
        router.attemptsOf(number) shouldHaveSize 1
        router.refusalOf(number)?.reason shouldBe RefusalReason.INCOMPLETE_ANSWER
    }

    "a resumable stream continues at another upstream" {
        val router = RouterHarness().start()
        val number = router.sendRequest("/chat/1", prompt = promptOf(100, 10))
        router.endAttempt(number, AnswerLost("reset", events = 2, isAnswerStarted = true, isResumable = true))
        router.attemptsOf(number) shouldHaveSize 2
        router.refusals.shouldBeEmpty()
    }

    "a late result of an earlier attempt is ignored" {
        // Guards against two concurrent attempts after a stalled connection delivers a result.
        val router = RouterHarness().start()
        val number = router.sendRequest("/status/1")
        router.endAttempt(number, LOST)
        val first = router.attemptsOf(number).first()
        router.post(AttemptEnded(number, first.attempt, LOST))
        router.attemptsOf(number) shouldHaveSize 2
    }

    "the attempt is cancelled when the caller disconnects" {
        val router = RouterHarness().start()
        val number = router.sendRequest("/chat/1", prompt = promptOf(100, 10))
        router.post(CallerDisconnected(number, deliveredEvents = 1))
        router.effects.filterIsInstance<CancelAttempt>() shouldHaveSize 1
        router.tables.requests.size shouldBe 0
    }

    "the deadline sent to an upstream is no later than the caller's" {
        val router = RouterHarness().start()
        val number = router.sendRequest("/status/1", deadlineMillis = 900)
        router.advance(300)
        router.endAttempt(number, LOST)
        router.attemptsOf(number).last().terms.remainingMillis shouldBeLessThanOrEqual 600L
    }

    "a request is refused before its caller's deadline" {
        val router = RouterHarness().start()
        val number = router.sendRequest("/booking/1", deadlineMillis = 900)
        router.advance(890)
        router.refusalOf(number)?.reason shouldBe RefusalReason.UPSTREAM_TIMEOUT
        router.refusalOf(number)?.outcome shouldBe Outcome.MAY_HAVE_RUN
    }

    "retries stop at the router's part of the retry budget" {
        // Guards against ten routers that together exceed the retry budget of the fleet.
        val router = RouterHarness().start()
        repeat(400) {
            val number = router.sendRequest("/status/$it")
            router.endAttempt(number, AnsweredFailure(500, load = null))
            if (router.attemptsOf(number).size == 2) router.endAttempt(number, AnsweredFailure(500, load = null))
        }
        val retries = router.sentAttempts.size - 400L
        retries shouldBeLessThanOrEqual (0.2 * 400 + 600.0 / 12).toLong()
    }

    "a leaving upstream receives no new requests" {
        val router = RouterHarness().start()
        router.post(upstreamListWithLeaving("desk-0", revision = 2))
        repeat(30) {
            val number = router.sendRequest("/status/$it")
            router.endAttempt(number, Delivered(0, load = null))
        }
        router.sentAttempts.filter { it.upstream.id.text == "desk-0" }.shouldBeEmpty()
    }
})
