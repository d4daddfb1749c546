package org.ibismoor.forwarding

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.shouldBe
import io.kotest.matchers.shouldNotBe
import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.forwarding.api.AnswerLost
import org.ibismoor.forwarding.api.AnsweredFailure
import org.ibismoor.forwarding.api.AttemptEnded
import org.ibismoor.forwarding.api.AttemptResult
import org.ibismoor.forwarding.api.AttemptResumed
import org.ibismoor.forwarding.api.AttemptSilent
import org.ibismoor.forwarding.api.CallerDisconnected
import org.ibismoor.forwarding.api.Delivered
import org.ibismoor.forwarding.api.FirstEventArrived
import org.ibismoor.forwarding.api.NotExecuted
import org.ibismoor.forwarding.api.NotSent
import org.ibismoor.forwarding.api.RequestNumber

private val LOST = AnswerLost("reset", events = 0, isAnswerStarted = false, isResumable = false)

private fun RouterHarness.silence(number: RequestNumber, attempt: Int = 1, isResumable: Boolean = true) =
    post(AttemptSilent(number, attempt, silence = 1, isResumable))

private fun RouterHarness.end(number: RequestNumber, attempt: Int, result: AttemptResult) =
    post(AttemptEnded(number, attempt, result))

private val RouterHarness.inFlight: Int get() = tables.upstreams.values.sumOf { it.inFlight }

class SilentAttemptTest : StringSpec({
    "a silent attempt goes on beside one at another upstream" {
        val router = RouterHarness().start()
        val number = router.sendRequest("/status/1")
        router.silence(number)
        val (first, second) = router.attemptsOf(number)
        first.upstream.id shouldNotBe second.upstream.id
        second.silence shouldBe 1
        router.inFlight shouldBe 2
    }

    "a request that may not be retried awaits its silent upstream" {
        // Guards against an answer that ends since the router gives the only attempt up that can complete it.
        val router = RouterHarness().start()
        val booking = router.sendRequest("/booking/1")
        router.silence(booking)
        val tried = router.sendRequest("/status/1")
        router.endAttempt(tried, AnsweredFailure(500, load = null))
        router.silence(tried, attempt = 2)
        val cut = router.sendRequest("/chat/1", prompt = promptOf(100, 10))
        router.post(FirstEventArrived(cut, 1, null))
        router.silence(cut, isResumable = false)
        router.sentAttempts shouldHaveSize 4
        router.refusals.shouldBeEmpty()
        router.inFlight shouldBe 3
    }

    "a request without another upstream awaits its silent upstream" {
        val router = RouterHarness().start(entries = listOf(upstream("engine-0")))
        val number = router.sendRequest("/chat/1", prompt = promptOf(100, 10))
        repeat(3) { router.silence(number) }
        router.attemptsOf(number) shouldHaveSize 1
        router.refusals.shouldBeEmpty()
        router.inFlight shouldBe 1
        router.endAttempt(number, Delivered(3, load = null))
        router.tables.requests.size shouldBe 0
    }

    "whatever ends the second attempt, the silent one stays" {
        // Guards against a caller whose answer ends since a second upstream refused or failed it.
        val results = listOf(
            NotSent("connect"),
            NotExecuted(503, isOtherUpstream = false, load = null),
            AnsweredFailure(500, load = null),
            LOST,
        )
        results.forEach { result ->
            val router = RouterHarness().start()
            val number = router.sendRequest("/chat/1", prompt = promptOf(100, 10))
            router.post(FirstEventArrived(number, 1, null))
            router.silence(number)
            router.end(number, attempt = 2, result)
            router.refusals.shouldBeEmpty()
            router.inFlight shouldBe 1
            router.end(number, attempt = 1, Delivered(3, load = null))
            router.tables.requests.size shouldBe 0
            router.inFlight shouldBe 0
        }
    }

    "a silent attempt that goes on has the request again" {
        val router = RouterHarness().start()
        val number = router.sendRequest("/chat/1", prompt = promptOf(100, 10))
        router.silence(number)
        router.post(AttemptResumed(number, 1))
        router.inFlight shouldBe 1
        router.post(FirstEventArrived(number, 1, null))
        router.end(number, attempt = 1, Delivered(3, load = null))
        router.tables.requests.size shouldBe 0
        router.inFlight shouldBe 0
    }

    "the second attempt has the request once the silent one has ended" {
        val router = RouterHarness().start()
        val number = router.sendRequest("/status/1")
        router.silence(number)
        router.end(number, attempt = 1, LOST)
        router.inFlight shouldBe 1
        router.end(number, attempt = 2, Delivered(0, load = null))
        router.tables.requests.size shouldBe 0
        router.inFlight shouldBe 0
    }

    "a request whose two attempts are silent until its deadline may have run" {
        val router = RouterHarness().start()
        val number = router.sendRequest("/status/1", deadlineMillis = 900)
        router.silence(number)
        router.advance(900)
        router.refusalOf(number)?.reason shouldBe RefusalReason.UPSTREAM_TIMEOUT
        router.refusalOf(number)?.outcome shouldBe Outcome.MAY_HAVE_RUN
        router.inFlight shouldBe 0
    }

    "silent attempts that are sent elsewhere stay within the retry budget" {
        val router = RouterHarness().start()
        repeat(400) { router.silence(router.sendRequest("/status/$it")) }
        val retries = router.sentAttempts.size - 400
        (retries in 1..(0.2 * 400 + 600.0 / 12).toInt()) shouldBe true
    }

    "several silent attempts at an upstream eject it" {
        // Guards against requests that keep going to an upstream that is gone.
        val router = RouterHarness().start(entries = listOf(upstream("engine-0")))
        repeat(3) { router.silence(router.sendRequest("/review/$it", prompt = promptOf(100, 10)), isResumable = false) }
        (router.tables.upstreams.values.single().failures.ejectedUntil > router.now) shouldBe true
    }

    "a request that was at two upstreams may have run although the silent one goes on and refuses it" {
        // Guards against a refusal that promises that a request has not run, and against tokens that are not charged.
        val router = RouterHarness().start()
        val number = router.sendRequest("/status/1")
        router.silence(number)
        router.post(AttemptResumed(number, 1))
        router.end(number, attempt = 1, NotExecuted(503, isOtherUpstream = false, load = null))
        router.refusalOf(number)?.outcome shouldBe Outcome.MAY_HAVE_RUN
    }

    "a caller that leaves while its request is sent elsewhere is charged for its prompt" {
        // Guards against prompts that upstreams have processed and that are not charged, since the silence and the
        // disconnect are handled in one tick.
        val router = RouterHarness(budget = 10_000).start()
        val number = router.sendRequest("/chat/1", prompt = promptOf(100, 10))
        router.advance(100)
        router.attemptsOf(number) shouldHaveSize 1
        router.postTogether(AttemptSilent(number, 1, silence = 1, isResumable = true), CallerDisconnected(number, 0))
        router.tables.allowances[COUNCIL]?.settled shouldBe 100
    }

    "a request whose silent attempt ends before the next one is sent stays within the retry budget" {
        // Guards against retries that are not counted, since the silence and the loss are handled in one tick.
        val router = RouterHarness().start()
        repeat(400) {
            val number = router.sendRequest("/status/$it")
            router.postTogether(
                AttemptSilent(number, 1, silence = 1, isResumable = true),
                AttemptEnded(number, 1, LOST),
            )
        }
        val retries = router.sentAttempts.size - 400
        (retries in 1..(0.2 * 400 + 600.0 / 12).toInt()) shouldBe true
    }
})
