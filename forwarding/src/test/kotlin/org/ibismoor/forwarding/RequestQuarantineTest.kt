package org.ibismoor.forwarding

import io.kotest.core.spec.style.StringSpec
import io.kotest.matchers.collections.shouldBeEmpty
import io.kotest.matchers.collections.shouldContain
import io.kotest.matchers.collections.shouldHaveSize
import io.kotest.matchers.ints.shouldBeLessThanOrEqual
import io.kotest.matchers.nulls.shouldBeNull
import io.kotest.matchers.nulls.shouldNotBeNull
import io.kotest.matchers.shouldBe
import org.ibismoor.coordination.api.QuarantinedRequest
import org.ibismoor.coordination.api.ReportAnswer
import org.ibismoor.coordination.api.RequestEvidence
import org.ibismoor.coordination.api.RequestQuarantineUpdate
import org.ibismoor.core.api.Outcome
import org.ibismoor.core.api.RefusalReason
import org.ibismoor.core.api.RequestDigest
import org.ibismoor.forwarding.api.AnswerLost
import org.ibismoor.forwarding.api.AnsweredFailure
import org.ibismoor.forwarding.api.AttemptEnded
import org.ibismoor.forwarding.api.AttemptSilent
import org.ibismoor.forwarding.api.Delivered
import org.ibismoor.forwarding.api.ReportAnswered
import org.ibismoor.forwarding.api.RequestNumber
import org.ibismoor.forwarding.api.SendReport

private val DEADLY = RequestDigest("deadly")
private val CRASHED = AnswerLost("reset", events = 0, isAnswerStarted = false, isResumable = false)
private val SILENT = AnswerLost("silent", events = 0, isAnswerStarted = false, isResumable = false)

class RequestQuarantineTest : StringSpec({
    "a quarantined request is refused as not run, and others are sent" {
        val router = RouterHarness().start()
        router.quarantine()
        val refused = router.sendDeadly()
        router.attemptsOf(refused).shouldBeEmpty()
        router.refusalOf(refused)?.reason shouldBe RefusalReason.REQUEST_QUARANTINED
        router.refusalOf(refused)?.outcome shouldBe Outcome.NOT_RUN
        router.refusalOf(refused)?.retryAfterMillis.shouldNotBeNull()
        router.attemptsOf(router.sendRequest("/status/1")) shouldHaveSize 1
    }

    "a request that waits for tokens when it is quarantined is refused" {
        // Guards against requests that reach upstreams since they were admitted before the quarantine.
        val router = RouterHarness(budget = 100_000).apply { issueLimit = 0 }.start()
        val number = router.sendRequest("/chat/1", prompt = promptOf(100, 10), digest = DEADLY)
        router.quarantine()
        router.attemptsOf(number).shouldBeEmpty()
        router.refusalOf(number)?.outcome shouldBe Outcome.NOT_RUN
    }

    "a request on a plain route is repeated after its first crash, and both crashes are reported" {
        // Guards against a quarantine that costs the quick repeat after an ordinary crash.
        val router = RouterHarness().start()
        val first = router.sendDeadly()
        router.endAttempt(first, CRASHED)
        router.attemptsOf(first) shouldHaveSize 2
        router.advance(200)
        router.endAttempt(first, CRASHED)
        router.lastEvidence()?.crashes?.map { it.isRepeat } shouldBe listOf(false, true)
    }

    "a crash under a silent attempt is reported, and a suspect is not sent beside a silent attempt" {
        // Guards against a deadly request that reaches two upstreams since the first one is slow to begin it.
        val router = RouterHarness().start()
        val number = router.sendDeadly()
        router.post(AttemptSilent(number, attempt = 1, silence = 1, isResumable = true))
        router.attemptsOf(number) shouldHaveSize 2
        router.post(AttemptEnded(number, attempt = 1, CRASHED))
        router.advance(200)
        router.lastEvidence()?.crashes?.map { it.digest } shouldBe listOf(DEADLY)
        router.answer(RequestQuarantineUpdate(suspects = listOf(DEADLY)))
        val suspect = router.sendDeadly()
        router.post(AttemptSilent(suspect, attempt = 1, silence = 1, isResumable = true))
        router.attemptsOf(suspect) shouldHaveSize 1
    }

    "a request that crashed an upstream at another router is not repeated after a crash" {
        // Guards against two lost upstreams for each retry of a deadly request.
        val router = RouterHarness().start()
        router.answer(RequestQuarantineUpdate(suspects = listOf(DEADLY)))
        val number = router.sendDeadly()
        router.endAttempt(number, CRASHED)
        router.attemptsOf(number) shouldHaveSize 1
        router.refusalOf(number)?.outcome shouldBe Outcome.MAY_HAVE_RUN
    }

    "an answer clears a request of its crashes, and a suspect's answer is reported" {
        val router = RouterHarness().start()
        router.endAttempt(router.sendDeadly(), CRASHED)
        router.lastEvidence()?.crashes?.map { it.digest } shouldBe listOf(DEADLY)
        router.endAttempt(router.sendDeadly(), Delivered(events = 0, load = null))
        router.answer(RequestQuarantineUpdate(suspects = listOf(DEADLY)))
        val evidence = router.lastEvidence()
        evidence?.crashes.orEmpty().shouldBeEmpty()
        evidence?.answered?.map { it.digest } shouldBe listOf(DEADLY)
    }

    "a failure that an upstream answers clears a request too" {
        val router = RouterHarness().start()
        router.endAttempt(router.sendDeadly(), CRASHED)
        router.endAttempt(router.sendDeadly(), AnsweredFailure(404, load = null))
        router.lastEvidence()?.crashes.orEmpty().shouldBeEmpty()
    }

    "an attempt that the router itself gives up is no crash" {
        val router = RouterHarness().start()
        router.endAttempt(router.sendDeadly(), SILENT)
        router.lastEvidence().shouldBeNull()
    }

    "a crash is reported within 100 ms, also if a report is on its way" {
        // Guards against other routers that hear of a crash only after the interval between reports.
        val router = RouterHarness().start()
        router.endAttempt(router.sendDeadly(), CRASHED)
        router.advance(100)
        router.effects.filterIsInstance<SendReport>().last().report.requests?.crashes.orEmpty() shouldHaveSize 1
    }

    "a router reports the quarantines that it holds and keeps them if the leader does not know quarantines" {
        // Guards against a quarantine that is lost at an election or while processes of two versions run.
        val router = RouterHarness().start()
        router.quarantine()
        router.advance(5_000)
        router.lastEvidence()?.quarantines?.map { it.digest } shouldBe listOf(DEADLY)
        router.refusalOf(router.sendDeadly()).shouldNotBeNull()
    }

    "a quarantine that the leader lifts ends" {
        val router = RouterHarness().start()
        router.quarantine()
        router.answer(RequestQuarantineUpdate())
        router.attemptsOf(router.sendDeadly()) shouldHaveSize 1
    }

    "a router that may probe sends one request and does not repeat it" {
        val router = RouterHarness().start()
        router.answer(RequestQuarantineUpdate(quarantines = listOf(QuarantinedRequest(DEADLY, 3, 0, true))))
        val probe = router.sendDeadly()
        val next = router.sendDeadly()
        router.attemptsOf(probe) shouldHaveSize 1
        router.attemptsOf(next).shouldBeEmpty()
        router.endAttempt(probe, CRASHED)
        router.attemptsOf(probe) shouldHaveSize 1
    }

    "a router without a leader quarantines a request on its own evidence" {
        val router = RouterHarness().start().apply { isControlUnreachable = true }
        router.advance(3_000)
        val first = router.sendDeadly()
        router.endAttempt(first, CRASHED)
        router.advance(200)
        router.endAttempt(first, CRASHED)
        router.refusalOf(router.sendDeadly())?.reason shouldBe RefusalReason.REQUEST_QUARANTINED
        router.advance(10_000)
        router.attemptsOf(router.sendDeadly()) shouldHaveSize 1
    }

    "the evidence in a report is bounded, and a request with several crashes is among it" {
        val router = RouterHarness().start()
        val deadly = router.sendDeadly()
        router.endAttempt(deadly, CRASHED)
        router.advance(200)
        router.endAttempt(deadly, CRASHED)
        repeat(5) {
            val numbers = List(100) { router.sendRequest("/status/1") }
            numbers.forEach { router.endAttempt(it, CRASHED) }
            router.advance(2_000)
        }
        val crashes = router.lastEvidence()?.crashes.orEmpty()
        crashes.size shouldBeLessThanOrEqual 64
        crashes.map { it.digest } shouldContain DEADLY
    }
})

private fun RouterHarness.sendDeadly(): RequestNumber = sendRequest("/status/1", digest = DEADLY)

private fun RouterHarness.answer(update: RequestQuarantineUpdate) =
    post(ReportAnswered(ReportAnswer(true, null, emptyList(), requests = update), null))

private fun RouterHarness.quarantine() =
    answer(RequestQuarantineUpdate(quarantines = listOf(QuarantinedRequest(DEADLY, 3, remainingMillis = 60_000))))

/** The evidence in the next report. */
private fun RouterHarness.lastEvidence(): RequestEvidence? {
    advance(500)
    return effects.filterIsInstance<SendReport>().last().report.requests
}
