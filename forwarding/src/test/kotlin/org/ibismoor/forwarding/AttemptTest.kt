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

private val LOST = AnswerLost("reset", events = 0, isAnswerBegun = false, isResumable = false)

class AttemptTest : StringSpec({
    "a booking whose answer was lost is not sent again and may have run" {
        // Guards against a second escort for one child.
        val router = RouterDouble().started()
        val number = router.arrive("/booking/1")
        router.end(number, LOST)
        router.sendsOf(number) shouldHaveSize 1
        router.refusalOf(number)?.outcome shouldBe Outcome.MAY_HAVE_RUN
        router.refusalOf(number)?.retryAfterMillis.shouldBeNull()
    }

    "a booking that surely did not run goes to another upstream" {
        val router = RouterDouble().started()
        val number = router.arrive("/booking/1")
        router.end(number, NotExecuted(503, isOtherUpstream = false, load = null))
        val sends = router.sendsOf(number)
        sends shouldHaveSize 2
        sends[0].upstream.id shouldNotBe sends[1].upstream.id
    }

    "a booking refused by as many upstreams as its route allows was not run and may come back" {
        val router = RouterDouble().started()
        val number = router.arrive("/booking/1")
        repeat(2) { router.end(number, NotExecuted(503, isOtherUpstream = false, load = null)) }
        router.sendsOf(number) shouldHaveSize 2
        router.refusalOf(number)?.outcome shouldBe Outcome.NOT_RUN
        router.refusalOf(number)?.retryAfterMillis shouldNotBe null
    }

    "a refusal after one lost answer never says that the request has not run" {
        // Guards against the promise of the last attempt hiding what the first one may have done.
        val router = RouterDouble().started()
        val number = router.arrive("/status/1")
        router.end(number, LOST)
        router.end(number, NotExecuted(503, isOtherUpstream = false, load = null))
        router.refusalOf(number)?.outcome shouldBe Outcome.MAY_HAVE_RUN
    }

    "an idempotent request is repeated after a server error and its second failure is given to the caller" {
        val router = RouterDouble().started()
        val number = router.arrive("/status/1")
        router.end(number, AnsweredFailure(500, load = null))
        router.end(number, AnsweredFailure(500, load = null))
        router.sendsOf(number) shouldHaveSize 2
        router.effects.filterIsInstance<ForwardFailure>() shouldHaveSize 1
    }

    "an upstream that could not be reached does not count against the attempts of a route" {
        val router = RouterDouble().started()
        val number = router.arrive("/booking/1")
        repeat(2) { router.end(number, NotSent("connect")) }
        router.sendsOf(number) shouldHaveSize 3
    }

    "a stream that cannot be resumed ends where it broke" {
        val router = RouterDouble().started()
        val number = router.arrive("/review/1", prompt = promptOf(100, 10))
        router.end(number, AnswerLost("reset", events = 2, isAnswerBegun = true, isResumable = true))
        router.sendsOf(number) shouldHaveSize 1
        router.refusalOf(number)?.reason shouldBe RefusalReason.INCOMPLETE_ANSWER
    }

    "a resumable stream goes on at another upstream" {
        val router = RouterDouble().started()
        val number = router.arrive("/chat/1", prompt = promptOf(100, 10))
        router.end(number, AnswerLost("reset", events = 2, isAnswerBegun = true, isResumable = true))
        router.sendsOf(number) shouldHaveSize 2
        router.refusals.shouldBeEmpty()
    }

    "a late end of an earlier attempt changes nothing" {
        // Guards against two attempts under way at once after a silent connection speaks again.
        val router = RouterDouble().started()
        val number = router.arrive("/status/1")
        router.end(number, LOST)
        val first = router.sendsOf(number).first()
        router.post(AttemptEnded(number, first.attempt, LOST))
        router.sendsOf(number) shouldHaveSize 2
    }

    "the attempt is ended when the caller leaves" {
        val router = RouterDouble().started()
        val number = router.arrive("/chat/1", prompt = promptOf(100, 10))
        router.post(CallerDisconnected(number, deliveredEvents = 1))
        router.effects.filterIsInstance<CancelAttempt>() shouldHaveSize 1
        router.tables.requests.size shouldBe 0
    }

    "an upstream is told no more time than the caller has left" {
        val router = RouterDouble().started()
        val number = router.arrive("/status/1", deadlineMillis = 900)
        router.run(300)
        router.end(number, LOST)
        router.sendsOf(number).last().terms.remainingMillis shouldBeLessThanOrEqual 600L
    }

    "a request is given up before its caller stops waiting" {
        val router = RouterDouble().started()
        val number = router.arrive("/booking/1", deadlineMillis = 900)
        router.run(890)
        router.refusalOf(number)?.reason shouldBe RefusalReason.UPSTREAM_TIMEOUT
        router.refusalOf(number)?.outcome shouldBe Outcome.MAY_HAVE_RUN
    }

    "repeats stop at the router's part of the retry budget" {
        // Guards against ten routers that together send more repeats than the fleet may.
        val router = RouterDouble().started()
        repeat(400) {
            val number = router.arrive("/status/$it")
            router.end(number, AnsweredFailure(500, load = null))
            if (router.sendsOf(number).size == 2) router.end(number, AnsweredFailure(500, load = null))
        }
        val repeats = router.sends.size - 400L
        repeats shouldBeLessThanOrEqual (0.2 * 400 + 600.0 / 12).toLong()
    }

    "a leaving upstream gets no new work" {
        val router = RouterDouble().started()
        router.post(leaving("desk-0", revision = 2))
        repeat(30) {
            val number = router.arrive("/status/$it")
            router.end(number, Delivered(0, load = null))
        }
        router.sends.filter { it.upstream.id.text == "desk-0" }.shouldBeEmpty()
    }
})
